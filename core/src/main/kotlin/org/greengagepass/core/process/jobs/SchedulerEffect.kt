/*
 * Effects of the scheduler's decisions. Effects that depend on a change of the state are carried out once it is stored.
 */
package org.greengagepass.core.process.jobs

/** An action to carry out outside the scheduler. */
public sealed class SchedulerEffect {
    /** A message to [host]. */
    public sealed class ForHost : SchedulerEffect() {
        public abstract val host: HostIncarnation
    }

    /** Command [host] to start a run. */
    public data class Start(
        override val host: HostIncarnation,
        val command: StartCommand,
    ) : ForHost()

    /** Command [host] to stop [run]. */
    public data class Stop(
        override val host: HostIncarnation,
        val run: TaskRun,
        val reason: StopReason,
    ) : ForHost()

    /** Command [host] to execute [run] at [percent] of full speed. */
    public data class Throttle(
        override val host: HostIncarnation,
        val run: TaskRun,
        val percent: Int,
    ) : ForHost()

    /** Acknowledge that the ends of [host] up to [through] are stored. */
    public data class AcknowledgeEnds(
        override val host: HostIncarnation,
        val through: Long,
    ) : ForHost()

    /** Send [reply] to the call [number] of an entry. */
    public data class Reply(
        val number: Long,
        val reply: JobReply,
    ) : SchedulerEffect()

    /** Write [decision] to the decision log. */
    public data class LogDecision(
        val decision: Decision,
    ) : SchedulerEffect()
}

/** Why a run is stopped. */
public enum class StopReason {
    /** Its job has ended. */
    JOB_ENDED,

    /** The scheduler's state has no such run on the host. */
    NOT_EXPECTED,

    /** Its host has refused one of several start commands for it. */
    START_REFUSED,

    /** The capacity of its host has shrunk before the run has started. */
    NO_CAPACITY,

    /** Its host is draining. */
    HOST_DRAINS,

    /** It makes no progress. */
    STALLED,

    /** Its host has become slow. */
    SLOW_HOST,

    /** It was throttled to protect serving tasks, and another host can run it at full speed. */
    CROWDED,
}

/** A decision about a job, a task or a host, for the decision log. */
public data class Decision(
    val name: String,
    val job: JobId? = null,
    val run: TaskRun? = null,
    val host: HostIncarnation? = null,
    val detail: String = "",
)
