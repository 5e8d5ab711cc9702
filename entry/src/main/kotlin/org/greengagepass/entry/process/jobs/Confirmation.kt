/*
 * Tells how long a fact that the store has confirmed may be relied on, such as that no other leader has begun. The
 * monotonic clock stands still while a process is suspended, and the wall clock may be set back, so both must agree.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.Moment

/** The last confirmation. It is valid for [validMillis] from the moment at which it was requested. */
public class Confirmation(
    private val validMillis: Long,
) {
    private var requestedAt: Moment? = null

    /** Records that the store confirmed a request that was sent at [moment]. */
    public fun confirm(moment: Moment) {
        requestedAt = moment
    }

    /** True if the confirmed request was sent after [moment]. */
    public fun isLaterThan(moment: Moment): Boolean = (requestedAt ?: return false).now > moment.now

    /** True if the confirmation is valid at [moment]. */
    public fun isValid(moment: Moment): Boolean {
        val requested = requestedAt ?: return false
        return moment.now.millisSince(requested.now) < validMillis &&
            moment.epochMillis - requested.epochMillis < validMillis
    }
}
