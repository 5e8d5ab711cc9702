/*
 * Lease end of each attempt from the grants of this owner, as readings of the owner's clock.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp

/** Lease ends by attempt. A lease is never shortened. */
public class LeaseTable {
    private val ends = HashMap<FencingToken, Timestamp>()

    /** Number of attempts with a lease. */
    public val size: Int
        get() = ends.size

    /** Extends the lease of [token] to [end]. */
    public fun grant(
        token: FencingToken,
        end: Timestamp,
    ) {
        val known = ends[token]
        if (known == null || known < end) {
            ends[token] = end
        }
    }

    /** The lease end of [token]; null if this owner granted it no lease. */
    public fun endOf(token: FencingToken): Timestamp? = ends[token]

    /** Removes [token], whose attempt has ended. */
    public fun remove(token: FencingToken) {
        ends.remove(token)
    }

    /** Removes all leases, because the partition has another owner. */
    public fun clear() {
        ends.clear()
    }
}
