/*
 * Ownership of a partition, decided by compare-and-set on the epoch.
 */
package org.greengagepass.core.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken

/** The entry that schedules a partition, and the epoch of its ownership. */
@Serializable
public data class Ownership(
    val owner: EntryId?,
    val address: String,
    val epoch: Epoch,
    /** Position of the valid claim. */
    val claimedAt: FencingToken,
    val released: Boolean,
    /** True if the previous owner released the partition. */
    val followsRelease: Boolean,
    /** How long after the release earlier owners may still renew leases, as the releasing owner recorded it. */
    val remainingWaitMillis: Long,
) {
    /** The entry that schedules the partition now; null if none does. */
    public val activeOwner: EntryId?
        get() = owner.takeUnless { released }

    /** The address under which agents reach [activeOwner]. */
    public val activeAddress: String?
        get() = activeOwner?.let { address }

    /** True if [entry] owns the partition and has not released it. */
    public fun isHeldBy(entry: EntryId): Boolean = owner == entry && !released

    /** True if a record written under [recordEpoch] is from the current owner. */
    internal fun permits(recordEpoch: Epoch): Boolean = recordEpoch == epoch && !released

    /** The ownership that [claim] creates at [position]; null if another claim came first. */
    internal fun after(
        claim: TaskRecord.PartitionClaimed,
        position: FencingToken,
    ): Ownership? =
        if (claim.expectedEpoch == epoch) {
            Ownership(
                owner = claim.owner,
                address = claim.address,
                epoch = epoch.next(),
                claimedAt = position,
                released = false,
                followsRelease = released && owner != null,
                remainingWaitMillis = remainingWaitMillis,
            )
        } else {
            null
        }

    public companion object {
        /** Ownership of a partition that no entry has claimed. */
        public val NONE: Ownership =
            Ownership(
                owner = null,
                address = "",
                epoch = Epoch.NONE,
                claimedAt = FencingToken.NONE,
                released = true,
                followsRelease = false,
                remainingWaitMillis = 0,
            )
    }
}
