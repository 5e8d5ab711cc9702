/*
 * The state of one task in the memory of the scheduler.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** State of a task. */
public sealed class TaskState {
    /** The task has no run and waits to be placed. */
    public data object Waiting : TaskState()

    /** The last run is placed on [host]; whether it has started may be unknown. */
    public data class Placed(
        val host: HostIncarnation,
    ) : TaskState()

    /** A run succeeded. */
    public data object Done : TaskState()
}

/** One task and the history of its runs. */
public class JobTask internal constructor(
    public val key: TaskKey,
    public val step: StepSpecification,
) {
    /** State of the task. */
    public var state: TaskState = TaskState.Waiting
        internal set

    /** Number of the last run; 0 before the first. */
    public var lastRun: Int = 0
        internal set

    /** Number of runs that ended with [RunOutcome.FAILED]. */
    public var failures: Int = 0
        internal set

    /** Checkpoint that the next run resumes from; empty if it starts from the beginning. */
    public var checkpoint: String = ""
        internal set

    /** Crashes of executors while the task was on them. */
    internal var crashHistory: CrashHistory = CrashHistory()

    /** Time before which the task is not started again, or null. */
    internal var heldUntil: Timestamp? = null

    /** True if the task was moved off a slow host; it is not moved for that reason again. */
    internal var wasMoved: Boolean = false

    /** Number of moves because the task was throttled to protect serving tasks. */
    internal var interferenceMoves: Int = 0

    /** Number of runs that were stopped because they used no processor time. */
    internal var stalls: Int = 0

    /** Host of the last failed or stalled run; other hosts are preferred. */
    public var failedOn: HostIncarnation? = null
        internal set

    /** The last run. */
    public val run: TaskRun
        get() = TaskRun(key, lastRun)

    /** The host that the last run is placed on, or null. */
    public val placedOn: HostIncarnation?
        get() = (state as? TaskState.Placed)?.host

    /** True if the task waits to be placed and is not held back at [now]. */
    internal fun mayBePlaced(now: Timestamp): Boolean = state == TaskState.Waiting && (heldUntil ?: now) <= now

    /** True if run [number] is the last run and is placed on [host]. */
    internal fun isCurrentRun(
        host: HostIncarnation,
        number: Int,
    ): Boolean = placedOn == host && lastRun == number
}
