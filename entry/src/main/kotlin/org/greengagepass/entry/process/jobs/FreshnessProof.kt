/*
 * Until when something that the store confirmed may be relied on, such as that no other leader has begun. A process
 * that was suspended may not trust its monotonic clock, which stood still, and a clock of the day may be set back; so
 * both must agree.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.Moment

/** The last confirmation, good for [validMillis] from the moment at which it was asked for. */
public class FreshnessProof(
    private val validMillis: Long,
) {
    private var askedAt: Moment? = null

    /** The store confirmed what was asked for at [moment]. */
    public fun confirm(moment: Moment) {
        askedAt = moment
    }

    /** True if the proof is good at [moment]. */
    public fun isValid(moment: Moment): Boolean {
        val asked = askedAt ?: return false
        return moment.now.millisSince(asked.now) < validMillis && moment.epochMillis - asked.epochMillis < validMillis
    }
}
