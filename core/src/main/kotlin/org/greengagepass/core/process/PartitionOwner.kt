/*
 * Decisions of an entry for one partition, whether it owns the partition or not. Any entry reads the stream and
 * writes submissions and cancellations; the owner also assigns tasks, answers heartbeats with grants, and claims
 * non-idempotent requests. It acts on a record of its own only after it has read it back as valid.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.process.OwnerInput.HostHeartbeat
import org.greengagepass.core.process.OwnerInput.PageRead
import org.greengagepass.core.process.TaskRecord.Assigned
import org.greengagepass.core.process.TaskRecord.Cancelled
import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.OwnerRecord
import org.greengagepass.core.process.TaskRecord.PartitionClaimed
import org.greengagepass.core.process.TaskRecord.Released

/**
 * Turns inputs into decisions, one at a time; not safe for use by several threads at a time. [state] is empty or
 * restored from a snapshot, and from then on belongs to this object.
 */
public class PartitionOwner(
    identity: OwnerIdentity,
    settings: OwnerSettings,
    placement: PlacementPolicy,
    configuration: OwnerConfiguration,
    /** The partition as far as its stream has been read. */
    public val state: PartitionState = PartitionState(),
) {
    private val context = OwnerContext(identity, settings, state)
    private val ownership = OwnershipTracker(context)
    private val permission = StartPermission(context, ownership, configuration)
    private val hosts = Hosts(context)
    private val ends = AttemptEnds(context, ownership)
    private val attempts = Attempts(context, ownership, hosts, ends)
    private val grants = Grants(context, permission, attempts, ends)
    private val placements = PlacementRounds(context, permission, hosts, placement)
    private val callers = Callers(context)
    private val requests = Requests(context, ownership)
    private val retention = Retention(context)
    private val shutdown = Shutdown(context, ownership)

    /** A record that was read, and whether this entry wrote it. */
    private class News(
        val folded: FoldedRecord,
        val isOwn: Boolean,
    )

    /** Epoch under which the entry owns the partition as of the last page; null if it does not. */
    public val ownedEpoch: Epoch?
        get() = ownership.ownedEpoch

    /** Number of records that wait to be appended or read back. */
    public val queueLength: Int
        get() = context.appender.size

    /** Handles [input] at the moment [clock]; the decisions are to be carried out in their order. */
    public fun handle(
        input: OwnerInput,
        clock: ClockReading,
    ): List<OwnerDecision> {
        context.clock = clock
        when (input) {
            is PageRead -> read(input)
            is HostHeartbeat -> heartbeat(input)
            is OwnerInput.AttemptEvent -> attempts.event(input)
            is OwnerInput.SubmitTask -> callers.submit(input)
            is OwnerInput.CancelTask -> callers.cancel(input)
            is OwnerInput.ClaimRequest -> requests.claim(input)
            is OwnerInput.RequestEnded -> requests.ended(input)
            is OwnerInput.EvictTask -> evict(input)
            is OwnerInput.Tick -> tick()
            is OwnerInput.Shutdown -> shutdown.begin()
        }
        context.appender.flush(context.now)?.let { context.decide(OwnerDecision.Append(it)) }
        return context.takeDecisions()
    }

    private fun read(page: PageRead) {
        if (maxOf(page.fromOffset, page.oldestOffset) > state.nextOffset) {
            context.decide(OwnerDecision.RestoreRequired(page.oldestOffset))
            return
        }
        val epochBefore = ownership.ownedEpoch
        val news = page.batches.flatMap(::fold)
        state.skipTo(page.nextOffset)
        ownership.pageFolded(page)
        if (epochBefore != ownership.ownedEpoch) {
            ownershipChanged()
        }
        news.forEach(::conclude)
    }

    private fun fold(read: BatchAtOffset): List<News> {
        val folded = state.fold(read.offset, read.batch)
        val firstSentAt = if (folded.isEmpty()) null else context.appender.readBack(read.batch)
        firstSentAt?.let(ownership::confirm)
        if (folded.any { it.isValid && (it.record is OwnerRecord || it.record is PartitionClaimed) }) {
            ownership.ownerSeen()
        }
        retention.folded(folded)
        return folded.map { News(it, isOwn = firstSentAt != null) }
    }

    private fun ownershipChanged() {
        ends.clear()
        hosts.clear()
        placements.clear()
        context.appender.dropOwnerRecords()
        requests.ownershipLost()
        if (ownership.ownedEpoch != null) {
            val firstLook = context.now.plusMillis(context.leaseAndMarginMillis)
            state.tasks.hosts.forEach { hosts.lookAt(it, firstLook) }
            requests.ownershipGained()
            placements.ownershipGained()
            retention.ownershipGained()
        }
    }

    private fun conclude(news: News) {
        val record = news.folded.record
        if (news.isOwn) {
            callers.readBack(record)
            requests.readBack(news.folded)
            (record as? Assigned)?.let(placements::readBack)
        }
        if (news.folded.isValid) {
            when (record) {
                is Released -> ended(record.token).also { placements.released(record.taskId) }
                is Finished -> ended(record.token)
                is Cancelled -> ended(state.tasks[record.taskId]?.lastToken ?: FencingToken.NONE)
                else -> Unit
            }
        }
    }

    private fun ended(token: FencingToken) = ends.ended(token)

    private fun heartbeat(input: HostHeartbeat) {
        val host = if (ownership.mayRenew) hosts.hear(input, context.epoch) else null
        if (host != null) {
            context.decide(OwnerDecision.SendGrant(input.host, input.incarnation, grants.grantFor(host)))
        }
    }

    private fun evict(input: OwnerInput.EvictTask) {
        state.tasks[input.taskId]
            ?.state
            ?.attempt
            ?.takeIf { ownership.mayWrite }
            ?.let { ends.evictions += it.token }
    }

    private fun tick() {
        callers.tick()
        requests.tick()
        attempts.tick()
        ownership.tick()
        placements.tick(mayPlace = ownership.mayWrite && !ownership.isStopping)
        if (ownership.mayWrite) {
            retention.tick()
        }
        shutdown.tick(isBusy = requests.isBusy)
    }
}
