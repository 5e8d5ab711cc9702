/*
 * Decisions of an entry for one partition, whether or not it is the owner. Every entry reads the stream and writes
 * submissions and cancellations; the owner also assigns tasks, answers heartbeats with grants, and claims
 * non-idempotent requests. An entry acts on its own record only after it has read it back as valid.
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
 * Handles one input at a time and returns decisions; not thread-safe. [state] is empty or restored from a snapshot, and
 * must not be used elsewhere afterwards.
 */
public class PartitionOwner(
    identity: OwnerIdentity,
    settings: OwnerSettings,
    placement: PlacementPolicy,
    configuration: OwnerConfiguration,
    /** State of the partition up to the end of what has been read of its stream. */
    public val state: PartitionState = PartitionState(),
) {
    private val context = OwnerContext(identity, settings, state)
    private val ownership = OwnershipTracker(context)
    private val permission = StartPermission(context, ownership, configuration)
    private val hosts = ReportingHosts(context)
    private val ends = AttemptEnds(context, ownership)
    private val attempts = AttemptRecorder(context, ownership, hosts, ends)
    private val grants = GrantBuilder(context, permission, attempts, ends)
    private val placements = PlacementRounds(context, permission, hosts, placement)
    private val taskRequests = TaskRequests(context)
    private val ownedRequests = OwnedRequests(context, ownership)
    private val retention = Retention(context)
    private val shutdown = Shutdown(context, ownership)

    /** A record that was read, and whether this entry wrote it. */
    private class ReadRecord(
        val folded: FoldedRecord,
        val isOwn: Boolean,
    )

    /** Epoch under which the entry owns the partition as of the last page; null if it does not. */
    public val ownedEpoch: Epoch?
        get() = ownership.ownedEpoch

    /** Number of records that are waiting to be appended or to be read back. */
    public val queueLength: Int
        get() = context.appender.size

    /** Handles [input] at the moment [clock]; the entry must carry out the decisions in order. */
    public fun handle(
        input: OwnerInput,
        clock: ClockReading,
    ): List<OwnerDecision> {
        context.clock = clock
        when (input) {
            is PageRead -> read(input)
            is HostHeartbeat -> heartbeat(input)
            is OwnerInput.AttemptEvent -> attempts.event(input)
            is OwnerInput.SubmitTask -> taskRequests.submit(input)
            is OwnerInput.CancelTask -> taskRequests.cancel(input)
            is OwnerInput.ClaimRequest -> ownedRequests.claim(input)
            is OwnerInput.RequestEnded -> ownedRequests.ended(input)
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
        val records = page.batches.flatMap(::fold)
        state.skipTo(page.nextOffset)
        ownership.pageFolded(page)
        if (epochBefore != ownership.ownedEpoch) {
            ownershipChanged()
        }
        records.forEach(::applyEffects)
    }

    private fun fold(read: BatchAtOffset): List<ReadRecord> {
        val folded = state.fold(read.offset, read.batch)
        val firstSentAt = if (folded.isEmpty()) null else context.appender.readBack(read.batch)
        firstSentAt?.let(ownership::confirm)
        if (folded.any { it.isValid && (it.record is OwnerRecord || it.record is PartitionClaimed) }) {
            ownership.ownerSeen()
        }
        retention.folded(folded)
        return folded.map { ReadRecord(it, isOwn = firstSentAt != null) }
    }

    private fun ownershipChanged() {
        ends.clear()
        hosts.clear()
        placements.clear()
        context.appender.dropOwnerRecords()
        ownedRequests.ownershipLost()
        if (ownership.ownedEpoch != null) {
            val firstCheckAt = context.now.plusMillis(context.leaseAndMarginMillis)
            state.tasks.hosts.forEach { hosts.scheduleCheck(it, firstCheckAt) }
            ownedRequests.ownershipGained()
            placements.ownershipGained()
            retention.ownershipGained()
        }
    }

    private fun applyEffects(read: ReadRecord) {
        val record = read.folded.record
        if (read.isOwn) {
            taskRequests.readBack(record)
            ownedRequests.readBack(read.folded)
            (record as? Assigned)?.let(placements::readBack)
        }
        if (read.folded.isValid) {
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
        val host = if (ownership.mayRenew) hosts.update(input, context.epoch) else null
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
        taskRequests.tick()
        ownedRequests.tick()
        attempts.tick()
        ownership.tick()
        placements.tick(mayPlace = ownership.mayWrite && !ownership.isStopping)
        if (ownership.mayWrite) {
            retention.tick()
        }
        shutdown.tick(isBusy = ownedRequests.isBusy)
    }
}
