/*
 * A host as the scheduler knows it: what it is, what it holds, and how long its lease lasts.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp

/** A run on a host, from the decision to start it until its end is known. */
public class HeldRun internal constructor(
    public val entry: JobTask,
    public val run: TaskRun,
    public val placedAt: Timestamp,
) {
    /** True once the host has confirmed the start. */
    public var isConfirmed: Boolean = false
        internal set

    /** When the host was last asked to stop the run, or null. */
    public var stopRequestedAt: Timestamp? = null
        internal set

    /** Why the host was first asked to stop the run, or null. */
    internal var stopReason: StopReason? = null

    /** The last report of the run, or null. */
    public var lastStatus: RunStatus? = null
        internal set

    /** True if an order about the run went to the agent that is connected now. */
    internal var isOrdered: Boolean = false

    /** Looks up to this number may not show the run although the host holds it; no answer is known before. */
    internal var settledAfterPoll: Long = Long.MAX_VALUE

    /** True if the host answered that the run can't start any more. */
    internal var isRuledOut: Boolean = false

    /** Since when the run has made no progress, or null. */
    internal var stalledSince: Timestamp? = null

    /** Share of full speed that the scheduler has asked for. */
    internal var speedPercent: Int = FULL_SPEED_PERCENT

    /** Since when the run has been far below full speed, or null. */
    internal var crowdedSince: Timestamp? = null

    /** What the task runs; tasks of one image behave alike. */
    internal val image: String
        get() = entry.step.sharing.image

    /** True if the task uses only the processor time that others leave. */
    internal val usesSpareProcessor: Boolean
        get() = entry.step.sharing.usesSpareProcessor

    /** True if the task serves users of its own. */
    internal val isServing: Boolean
        get() = entry.step.sharing.isServing

    /** Processor time that the task asks for at its present pace, in thousandths of a core. */
    internal val pacedMilliCores: Long
        get() = entry.step.demand.milliCores * speedPercent / FULL_SPEED_PERCENT

    /** True if a measurement at [now] covers only time in which the run was there. */
    internal fun isMeasured(now: Timestamp): Boolean = now.millisSince(placedAt) >= MEASURED_AFTER_MILLIS

    /** True if the time that the run takes says something of its host. */
    internal val isMeasurable: Boolean
        get() =
            isConfirmed &&
                entry.step.lifetime == StepLifetime.FINITE &&
                !usesSpareProcessor &&
                entry.step.coordination == StepCoordination.INDEPENDENT

    public companion object {
        /** A task that is not slowed. */
        public const val FULL_SPEED_PERCENT: Int = 100

        /** A measurement covers half a second and is reported within another. */
        private const val MEASURED_AFTER_MILLIS = 900L
    }
}

/** Earlier than every reading of the scheduler's clock, with room to add to it. */
private val NEVER = Timestamp(Long.MIN_VALUE / 2)

/** One life of a host. */
public class Host internal constructor(
    description: HostDescription,
) {
    /** What the host says of itself. */
    public var description: HostDescription = description
        internal set

    /** Runs that the host holds or may hold, by task. */
    public val runs: MutableMap<TaskKey, HeldRun> = LinkedHashMap()

    /** True while the host's agent is connected. */
    public var isConnected: Boolean = false
        internal set

    /** When the host last told what it holds, by the scheduler's clock. */
    public var lastReportAt: Timestamp = NEVER
        internal set

    /** When the leases granted to the host have surely lapsed, by the scheduler's clock. */
    public var lapsesAt: Timestamp = NEVER
        internal set

    /** Reading of the host's clock until which it holds its tasks. */
    public var leaseUntilHostClock: Long = 0
        internal set

    /** Ends up to this number are in the scheduler's state. */
    internal var processedEnds: Long = 0

    /** The host gets no new tasks before this time. */
    internal var pausedUntil: Timestamp = NEVER
        private set

    /** The life of the host. */
    public val incarnation: HostIncarnation
        get() = description.incarnation

    /** What the host has left for tasks that use spare processor time. */
    public val spare: SpareCapacity = SpareCapacity()

    /** How long tasks take on the host. */
    public val speed: HostSpeed = HostSpeed()

    /** Gives the host no new tasks before [time]. */
    internal fun pauseUntil(time: Timestamp) {
        pausedUntil = maxOf(pausedUntil, time)
    }

    /** True if the host has told what it holds shortly before [now]; a silent one gets no new tasks. */
    public fun isResponsive(now: Timestamp): Boolean =
        isConnected && lastReportAt.plusMillis(REPORT_SILENCE_MILLIS) >= now

    /** What the runs on the host have reserved. */
    public fun reserved(): Resources =
        runs.values.fold(Resources.NONE) { sum, held -> sum + held.entry.step.reservation }

    /** Processor time that tasks which use what others leave ask for at their present pace. */
    public fun spareDemandMilliCores(): Long = spareUsers().sumOf { it.pacedMilliCores }

    /** Runs that use only the processor time that others leave. */
    internal fun spareUsers(): List<HeldRun> = runs.values.filter { it.usesSpareProcessor }

    /** Runs that serve users of their own. */
    internal fun servingRuns(): List<HeldRun> = runs.values.filter { it.isServing }

    /** Processor time that is left for them. */
    public fun spareMilliCores(): Long = spare.milliCores(description.capacity.milliCores, runs.values)

    private companion object {
        /** Two reports, which come every 400 ms at least. */
        private const val REPORT_SILENCE_MILLIS = 900L
    }
}
