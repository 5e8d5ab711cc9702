/*
 * What the scheduler wants done. Effects that depend on a change of the state are carried out once that is stored.
 */
package org.greengagepass.core.process.jobs

/** Something to do outside the scheduler. */
public sealed class SchedulerEffect {
    /** Tell [host] to start a run. */
    public data class Start(
        val host: HostIncarnation,
        val command: StartCommand,
    ) : SchedulerEffect()

    /** Tell [host] to stop [run]. */
    public data class Stop(
        val host: HostIncarnation,
        val run: TaskRun,
        val reason: StopReason,
    ) : SchedulerEffect()

    /** Tell [host] to let [run] work at [percent] of full speed. */
    public data class Throttle(
        val host: HostIncarnation,
        val run: TaskRun,
        val percent: Int,
    ) : SchedulerEffect()

    /** Tell [host] that its ends up to [through] are stored. */
    public data class AcknowledgeEnds(
        val host: HostIncarnation,
        val through: Long,
    ) : SchedulerEffect()

    /** Answer the call [number] of an entry. */
    public data class Reply(
        val number: Long,
        val reply: JobReply,
    ) : SchedulerEffect()

    /** Record a decision in the log. */
    public data class LogDecision(
        val decision: Decision,
    ) : SchedulerEffect()
}

/** Why a run is stopped. */
public enum class StopReason {
    /** Its job was cancelled or has failed. */
    JOB_ENDED,

    /** The scheduler's state gives the task to another run. */
    NOT_EXPECTED,

    /** Its host leaves. */
    HOST_DRAINS,

    /** It makes no progress. */
    STALLED,

    /** Its host has become slow. */
    SLOW_HOST,

    /** The run was slowed for its neighbours' sake and goes on elsewhere. */
    CROWDED,
}

/** A decision that changes what becomes of a job or a task, for the log. */
public data class Decision(
    val name: String,
    val job: JobId? = null,
    val run: TaskRun? = null,
    val host: HostIncarnation? = null,
    val detail: String = "",
)
