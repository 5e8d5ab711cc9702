/*
 * The state of one task in the memory of the scheduler.
 */
package org.greengagepass.core.process.jobs

/** Where a task stands. */
public sealed class TaskState {
    /** Nothing runs; the task starts when its turn comes. */
    public data object Waiting : TaskState()

    /** The last run was given to [host]; whether it has begun there may be unknown. */
    public data class Placed(
        val host: HostIncarnation,
    ) : TaskState()

    /** A run ended with success. */
    public data object Done : TaskState()
}

/** One task with what is remembered of its runs. */
public class JobTask internal constructor(
    public val key: TaskKey,
    public val step: StepSpecification,
) {
    /** Where the task stands. */
    public var state: TaskState = TaskState.Waiting
        internal set

    /** Number of the last run; 0 before the first. */
    public var lastRun: Int = 0
        internal set

    /** Runs that failed by their own or their host's fault. */
    public var failures: Int = 0
        internal set

    /** What the next run resumes from; empty if it starts anew. */
    public var checkpoint: String = ""
        internal set

    /** True if the task was moved away from a slow host; it is not moved again. */
    internal var wasMoved: Boolean = false

    /** How often the task was moved away from serving tasks that it disturbed. */
    internal var movesFromCrowds: Int = 0

    /** Host on which the last failed run was; another one is preferred. */
    public var failedOn: HostIncarnation? = null
        internal set

    /** The last run. */
    public val run: TaskRun
        get() = TaskRun(key, lastRun)

    /** The host that holds the last run, or null. */
    public val placedOn: HostIncarnation?
        get() = (state as? TaskState.Placed)?.host

    /** True if run [number] is the one that [host] holds. */
    internal fun isHeldBy(
        host: HostIncarnation,
        number: Int,
    ): Boolean = placedOn == host && lastRun == number
}
