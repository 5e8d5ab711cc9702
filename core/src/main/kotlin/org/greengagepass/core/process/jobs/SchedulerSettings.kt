/*
 * Times and limits of the job scheduler. All times are in milliseconds.
 */
package org.greengagepass.core.process.jobs

/** Settings of one scheduler. */
public data class SchedulerSettings(
    /** How long a host's tasks run on without word from the scheduler. */
    val leaseMillis: Long,
    /** How long the scheduler grants leases without having proved its leadership again. */
    val leadershipMillis: Long,
    /** How long a run may use no processor time before it is moved to another host. */
    val stalledMillis: Long = STALLED_MILLIS,
    /** How long an ended job is remembered. */
    val retentionMillis: Long,
) {
    /** Time from a grant until the host's lease has surely lapsed, by a clock that may run slow. */
    val leaseBoundMillis: Long
        get() = leaseMillis + leaseMillis * CLOCK_DRIFT_PERCENT / PERCENT + LEASE_MARGIN_MILLIS

    /** Time from the begin of a leadership until leases that its predecessor granted have surely lapsed. */
    val takeoverBoundMillis: Long
        get() = leadershipMillis + leaseBoundMillis

    private companion object {
        private const val PERCENT = 100

        /** The steady clock of a host may be 2% slow; the third percent covers the rounding of its readings. */
        private const val CLOCK_DRIFT_PERCENT = 3

        /** Covers the end of a task that is killed when its lease lapses. */
        private const val LEASE_MARGIN_MILLIS = 200L

        /** Four reports of a host in a row, so that one measurement of a task that has just begun is not enough. */
        private const val STALLED_MILLIS = 1_500L
    }
}
