/*
 * Ownership of the partition as this entry sees it: when to claim it, since when it is confirmed, and what the
 * owner may do at a moment. Section 8 of the design gives the rules.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerInput.PageRead
import org.greengagepass.core.process.TaskRecord.OwnerHeartbeat
import org.greengagepass.core.process.TaskRecord.PartitionClaimed
import org.greengagepass.core.process.TaskRecord.PartitionReleased

/** Claims, confirms and releases the ownership. */
internal class OwnershipTracker(
    private val context: OwnerContext,
) {
    private val settings = context.settings
    private val state = context.state
    private var ownerSeenAt: Timestamp? = null
    private var lastReadAt: Timestamp? = null
    private var confirmedAt: Timestamp? = null
    private var heartbeatDueAt = Timestamp(0)
    private var heartbeat: OwnerHeartbeat? = null
    private var isReleasing = false

    /** Epoch under which this entry owns the partition as of the last page; null if it does not. */
    var ownedEpoch: Epoch? = null
        private set

    /** Until when owners before this one may renew leases. */
    var earlierLeasesEndAt = Timestamp(0)
        private set

    /** True from the moment at which the entry was told to stop. */
    var isStopping = false
        private set

    /** True while the entry may write records as the owner. */
    val mayWrite: Boolean
        get() = ownedEpoch != null && !isReleasing

    /** True while leases may be renewed, with or without the log. */
    val mayRenew: Boolean
        get() = mayWrite && confirmationAgeMillis <= settings.outageAllowanceMillis

    /** Age of the last proof from the log that this entry is the owner. */
    val confirmationAgeMillis: Long
        get() = confirmedAt?.let(context.now::millisSince) ?: Long.MAX_VALUE

    /** True if [token] was assigned by this owner, so no earlier owner can grant anything for it. */
    fun isOwnToken(token: FencingToken): Boolean = token > state.ownership.claimedAt

    /** Notes a record that the owner wrote, whoever that is. */
    fun ownerSeen() {
        ownerSeenAt = context.now
    }

    /** Notes that the log had shown this entry as the owner at [time] or later. */
    fun confirm(time: Timestamp) {
        val known = confirmedAt
        if (state.ownership.isHeldBy(context.identity.entry) && (known == null || known < time)) {
            confirmedAt = time
        }
    }

    /** Draws the conclusions of [page], which has been folded. */
    fun pageFolded(page: PageRead) {
        val previousReadAt = lastReadAt
        val isGap = previousReadAt == null || context.now.millisSince(previousReadAt) > settings.readGapMillis
        if (isGap) {
            ownerSeen()
        }
        lastReadAt = context.now
        if (page.batches.isEmpty() && page.nextOffset == state.nextOffset) {
            confirm(page.sentAt)
        }
        updateOwnedEpoch()
        claimIfDue(page)
    }

    /** Queues what the owner writes from time to time. */
    fun tick() {
        val pending = heartbeat
        val isDue = context.now >= heartbeatDueAt && (pending == null || pending !in context.appender)
        if (mayWrite && isDue) {
            heartbeat = OwnerHeartbeat(context.epoch, context.clock.epochMillis).also(context.appender::offer)
            heartbeatDueAt = context.now.plusMillis(settings.ownerHeartbeatMillis)
        }
    }

    /** Takes no more partitions; the release follows when nothing is in progress any more. */
    fun stop() {
        isStopping = true
    }

    /** Queues the release after everything that is queued before it, and grants nothing from now on. */
    fun release() {
        if (mayWrite) {
            val remaining = maxOf(0, earlierLeasesEndAt.millisSince(context.now))
            isReleasing = context.appender.offer(PartitionReleased(context.epoch, remaining))
        }
    }

    private fun updateOwnedEpoch() {
        val current = state.ownership.epoch.takeIf { state.ownership.isHeldBy(context.identity.entry) }
        val before = ownedEpoch
        if (before != null && before != current) {
            context.decide(
                OwnerDecision.OwnershipLost(before, state.ownership.address.takeUnless { state.ownership.released }),
            )
        }
        if (current != null && before != current) {
            heartbeatDueAt = context.now
            earlierLeasesEndAt = context.now.plusMillis(waitMillis())
            context.decide(OwnerDecision.OwnershipGained(current))
        }
        ownedEpoch = current
    }

    private fun waitMillis(): Long =
        if (state.ownership.followsRelease) {
            maxOf(context.leaseAndMarginMillis, state.ownership.remainingWaitMillis)
        } else {
            settings.outageAllowanceMillis + context.leaseAndMarginMillis
        }

    private fun claimIfDue(page: PageRead) {
        val ownership = state.ownership
        val silenceMillis = ownerSeenAt?.let(page.sentAt::millisSince) ?: 0
        val ownerSilenceMillis = if (ownership.released) 0 else settings.ownerSilenceMillis
        val isDue =
            ownership.released && settings.claimDelayMillis == 0L ||
                silenceMillis >= ownerSilenceMillis + settings.claimDelayMillis
        if (ownedEpoch == null && !isStopping && isDue) {
            val claim = PartitionClaimed(context.identity.entry, context.identity.address, ownership.epoch)
            context.appender.offer(claim)
        }
    }
}
