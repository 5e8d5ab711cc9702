/*
 * The scheduler's record of a host: its description, the runs placed on it and the end of its lease.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp

/** A run assigned to a host, from the decision to start it until its end is known. */
public class PlacedRun internal constructor(
    public val task: JobTask,
    public val run: TaskRun,
    public val placedAt: Timestamp,
) {
    /** True once the host has confirmed the start. */
    public var isConfirmed: Boolean = false
        internal set

    /** When the last stop command was issued for the run, or null. */
    public var stopRequestedAt: Timestamp? = null
        internal set

    /** Reason of the last stop command for the run, or null. */
    internal var stopReason: StopReason? = null

    /** When the host first listed the run, or null. */
    internal var listedSince: Timestamp? = null

    /** When the host last listed the run, or null. */
    internal var listedAt: Timestamp? = null

    /** How long the run has been seen on the host. */
    internal val listedMillis: Long
        get() = listedSince?.let { since -> listedAt?.millisSince(since) } ?: 0

    /** True if the run has lasted long enough to show that it does not crash the executor. */
    internal val isProven: Boolean
        get() = listedSince != null && listedMillis >= task.crashHistory.trialMillis

    /** True while the run shows whether its task, under which an executor has crashed, crashes the next one too. */
    internal val isOnTrial: Boolean
        get() = task.crashHistory.isSuspect && !isProven

    /** The last reported status of the run, or null. */
    public var lastStatus: RunStatus? = null
        internal set

    /** True if a command for the run was issued since the host's agent last connected. */
    internal var isCommandSent: Boolean = false

    /** True if this leader has issued a start command for the run. */
    private var isStartIssued: Boolean = false

    /** True if a start command before the last one may still be answered or carried out. */
    internal var hasEarlierStart: Boolean = false

    /** Notes that another start command is issued. */
    internal fun startIssued() {
        hasEarlierStart = hasEarlierStart || isStartIssued
        isStartIssued = true
        isCommandSent = true
    }

    /**
     * Polls up to this number may omit the run although the host holds it. The largest number until the host has
     * answered a command.
     */
    internal var settledAfterPoll: Long = Long.MAX_VALUE

    /** True if the host has answered that the run can no longer start. */
    internal var isStartExcluded: Boolean = false

    /** When the run was first seen to make no progress, or null while it makes progress. */
    internal var stalledSince: Timestamp? = null

    /** Share of full speed that the scheduler has set. */
    internal var speedPercent: Int = FULL_SPEED_PERCENT

    /** When the run was first seen far below full speed, or null while it is not. */
    internal var throttledSince: Timestamp? = null

    /** Program that the task runs; tasks of one image behave alike. */
    internal val image: String
        get() = task.step.sharing.image

    /** True for a best-effort task, which uses only spare processor time. */
    internal val usesSpareProcessor: Boolean
        get() = task.step.sharing.usesSpareProcessor

    /** True for a serving task, which has a latency objective. */
    internal val isServing: Boolean
        get() = task.step.sharing.isServing

    /** Processor time that the task requests at its present speed, in thousandths of a core. */
    internal val throttledMilliCores: Long
        get() = task.step.demand.milliCores * speedPercent / FULL_SPEED_PERCENT

    /** True if a measurement reported at [now] covers only time after the run was placed. */
    internal fun isMeasured(now: Timestamp): Boolean = now.millisSince(placedAt) >= MEASURED_AFTER_MILLIS

    /** True if the duration of the run indicates the speed of its host. */
    internal val indicatesHostSpeed: Boolean
        get() =
            isConfirmed &&
                task.step.lifetime == StepLifetime.FINITE &&
                !usesSpareProcessor &&
                task.step.coordination == StepCoordination.INDEPENDENT

    public companion object {
        /** Speed of a task that is not throttled. */
        public const val FULL_SPEED_PERCENT: Int = 100

        /** A measurement covers half a second and is reported within another half second. */
        private const val MEASURED_AFTER_MILLIS = 900L
    }
}

/** Earlier than every reading of the scheduler's clock; half the minimum, so that adding to it can't overflow. */
private val DISTANT_PAST = Timestamp(Long.MIN_VALUE / 2)

/** One incarnation of a host. */
public class Host internal constructor(
    description: HostDescription,
) {
    /** The host's latest description of itself. */
    public var description: HostDescription = description
        private set

    /** Runs that are or may be on the host, by task. */
    public val runs: MutableMap<TaskKey, PlacedRun> = LinkedHashMap()

    /** True while the host's agent is connected. */
    public var isConnected: Boolean = false
        internal set

    /** When the host's last report arrived, by the scheduler's clock. */
    public var lastReportAt: Timestamp = DISTANT_PAST
        internal set

    /** When all leases granted to the host have certainly expired, by the scheduler's clock. */
    public var leaseExpiresAt: Timestamp = DISTANT_PAST
        internal set

    /** End of the host's lease, as a reading of the host's clock. */
    public var leaseUntilHostClock: Long = 0
        internal set

    /** Since when the host's executor has not answered its agent, or null if it answers. */
    public var silentSince: Timestamp? = null
        internal set

    /** Number of the last run end that the scheduler's state includes. */
    internal var processedEnds: Long = 0

    /** Time before which no tasks are placed on the host. */
    internal var pausedUntil: Timestamp = DISTANT_PAST
        private set

    /** Time before which tasks are placed on the host one at a time, and only if they have waited too long. */
    internal var avoidedUntil: Timestamp = DISTANT_PAST
        private set

    /** Incarnation of the host. */
    public val incarnation: HostIncarnation
        get() = description.incarnation

    /** Estimate of the processor time that is left for best-effort tasks. */
    public val spareCapacity: SpareCapacity = SpareCapacity()

    /** Estimate of how fast tasks run on the host. */
    public val speed: HostSpeed = HostSpeed()

    /** Adopts [newer]. An executor that drains does not become ready again, so a claim that it is ready is outdated. */
    internal fun describe(newer: HostDescription) {
        description = newer.copy(isDraining = newer.isDraining || description.isDraining)
    }

    /** Places no tasks on the host before [time]. */
    internal fun pauseUntil(time: Timestamp) {
        pausedUntil = maxOf(pausedUntil, time)
    }

    /** Avoids the host, on which tasks fail, before [time]. */
    internal fun avoidUntil(time: Timestamp) {
        avoidedUntil = maxOf(avoidedUntil, time)
    }

    /** True if the host has reported shortly before [now]; no tasks are placed on a host that has not. */
    public fun isResponsive(now: Timestamp): Boolean =
        isConnected && lastReportAt.plusMillis(REPORT_SILENCE_MILLIS) >= now

    /** True if a start command for [run] may be sent: it is placed on the host and no stop has been issued for it. */
    public fun mayStart(run: TaskRun): Boolean =
        runs[run.task]?.let { it.run == run && it.stopRequestedAt == null } ?: false

    /** Resources reserved by the runs on the host. */
    public fun reserved(): Resources =
        runs.values.fold(Resources.NONE) { sum, placed -> sum + placed.task.step.reservation }

    /** Processor time that best-effort tasks request at their present speed, in thousandths of a core. */
    public fun spareDemandMilliCores(): Long = bestEffortRuns().sumOf { it.throttledMilliCores }

    /** Runs of best-effort tasks. */
    internal fun bestEffortRuns(): List<PlacedRun> = runs.values.filter { it.usesSpareProcessor }

    /** Runs of serving tasks. */
    internal fun servingRuns(): List<PlacedRun> = runs.values.filter { it.isServing }

    /** Processor time that is left for best-effort tasks, in thousandths of a core. */
    public fun spareMilliCores(): Long = spareCapacity.milliCores(description.capacity.milliCores, runs.values)

    private companion object {
        /** Covers two reports, which arrive at least every 400 ms. */
        private const val REPORT_SILENCE_MILLIS = 900L
    }
}
