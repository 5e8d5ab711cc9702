/*
 * Times and limits of the job scheduler. All times are in milliseconds.
 */
package org.greengagepass.core.process.jobs

/** Settings of one scheduler. */
public data class SchedulerSettings(
    /** How long a host's tasks continue to run without an extension of the host's lease. */
    val leaseMillis: Long,
    /** How long the scheduler may grant leases after the last confirmation of its leadership. */
    val leadershipMillis: Long,
    /** How long a run may use no processor time before it is stopped, so that it moves to another host. */
    val stalledMillis: Long = STALLED_MILLIS,
    /** How long an ended job is kept. */
    val retentionMillis: Long,
) {
    /** Time from a grant until the host's lease has certainly expired, even if the host's clock is slow. */
    val leaseBoundMillis: Long
        get() = leaseMillis + leaseMillis * CLOCK_DRIFT_PERCENT / PERCENT + LEASE_MARGIN_MILLIS

    /** Time from the start of a leadership until leases granted by its predecessor have certainly expired. */
    val takeoverBoundMillis: Long
        get() = leadershipMillis + leaseBoundMillis

    private companion object {
        private const val PERCENT = 100

        /** The monotonic clock of a host may be 2% slow; the third percent covers the rounding of its readings. */
        private const val CLOCK_DRIFT_PERCENT = 3

        /** Covers the time to kill a task when its lease expires. */
        private const val LEASE_MARGIN_MILLIS = 200L

        /** Covers four consecutive reports, so that one measurement of a task that has just begun is not enough. */
        private const val STALLED_MILLIS = 1_500L
    }
}
