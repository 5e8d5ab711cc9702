/*
 * Until when each attempt may run by what this owner has granted, in the owner's own clock.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp

/** Ends of the grants per attempt. An end never moves back. */
public class LeaseTable {
    private val ends = HashMap<FencingToken, Timestamp>()

    /** Number of attempts with a grant. */
    public val size: Int
        get() = ends.size

    /** Notes that [token] is granted until [end]. */
    public fun grant(
        token: FencingToken,
        end: Timestamp,
    ) {
        val known = ends[token]
        if (known == null || known < end) {
            ends[token] = end
        }
    }

    /** The end of the last grant for [token]; null if this owner granted it nothing. */
    public fun endOf(token: FencingToken): Timestamp? = ends[token]

    /** Drops [token], whose attempt has ended. */
    public fun remove(token: FencingToken) {
        ends.remove(token)
    }

    /** Drops everything, because the partition has another owner. */
    public fun clear() {
        ends.clear()
    }
}
