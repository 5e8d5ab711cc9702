/*
 * Ownership of the partition as this entry sees it: when to claim it, when it was last confirmed, and what the owner
 * may do at a moment. Section 8 of the design defines the rules.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerInput.PageRead
import org.greengagepass.core.process.TaskRecord.OwnerHeartbeat
import org.greengagepass.core.process.TaskRecord.PartitionClaimed
import org.greengagepass.core.process.TaskRecord.PartitionReleased

/** Claims, confirms and releases the partition. */
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

    /** Time after which no lease of an earlier owner can be valid. */
    var earlierLeasesEndAt = Timestamp(0)
        private set

    /** True once the entry has been asked to stop. */
    var isStopping = false
        private set

    /** True while the entry may write records as the owner. */
    val mayWrite: Boolean
        get() = ownedEpoch != null && !isReleasing

    /** True while leases may be renewed, even if the log is unavailable. */
    val mayRenew: Boolean
        get() = mayWrite && confirmationAgeMillis <= settings.outageAllowanceMillis

    /**
     * True if no other entry can have claimed a key yet: this entry owns the partition, and its last confirmation is
     * more recent than the silence after which another entry may take over.
     */
    val isExclusive: Boolean
        get() = ownedEpoch != null && confirmationAgeMillis <= settings.readGapMillis

    /** Age of the last confirmation from the log that this entry is the owner. */
    val confirmationAgeMillis: Long
        get() = confirmedAt?.let(context.now::millisSince) ?: Long.MAX_VALUE

    /** True if [token] was assigned by this owner, so no earlier owner can grant anything for it. */
    fun isOwnToken(token: FencingToken): Boolean = token > state.ownership.claimedAt

    /** Updates the time at which a record of the current owner, whichever entry it is, was last read. */
    fun ownerSeen() {
        ownerSeenAt = context.now
    }

    /** Confirms that the log showed this entry as the owner at [time] or later. */
    fun confirm(time: Timestamp) {
        val known = confirmedAt
        if (state.ownership.isHeldBy(context.identity.entry) && (known == null || known < time)) {
            confirmedAt = time
        }
    }

    /** Updates the ownership after [page] was folded, and claims the partition if that is due. */
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

    /** Queues a heartbeat of the owner if one is due. */
    fun tick() {
        val pending = heartbeat
        val isDue = context.now >= heartbeatDueAt && (pending == null || pending !in context.appender)
        if (mayWrite && isDue) {
            heartbeat = OwnerHeartbeat(context.epoch, context.clock.epochMillis).also(context.appender::offer)
            heartbeatDueAt = context.now.plusMillis(settings.ownerHeartbeatMillis)
        }
    }

    /** Claims no partition from now on; the release follows once nothing is in progress. */
    fun stop() {
        isStopping = true
    }

    /** Queues the release behind all queued records; the owner grants nothing from now on. */
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
            earlierLeasesEndAt = context.now.plusMillis(earlierLeasesMillis())
            context.decide(OwnerDecision.OwnershipGained(current))
        }
        ownedEpoch = current
    }

    private fun earlierLeasesMillis(): Long =
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
