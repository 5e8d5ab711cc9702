/*
 * Ownership of a partition, decided by compare-and-set on the epoch.
 */
package org.greengagepass.core.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken

/** Who schedules the partition. */
@Serializable
public data class Ownership(
    val owner: EntryId?,
    val address: String,
    val epoch: Epoch,
    /** Position of the valid claim. */
    val claimedAt: FencingToken,
    val released: Boolean,
    /** True if the owner before this one gave the partition up. */
    val followsRelease: Boolean,
    /** How long, after the release that it states, owners before this one may still renew leases. */
    val remainingWaitMillis: Long,
) {
    /** True if [entry] owns the partition and has not released it. */
    public fun isHeldBy(entry: EntryId): Boolean = owner == entry && !released

    /** True if a record that was written under [recordEpoch] is the current owner's. */
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
        /** Ownership of a partition that nobody has claimed. */
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
