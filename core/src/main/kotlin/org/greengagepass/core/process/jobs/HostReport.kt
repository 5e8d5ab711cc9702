/*
 * Messages between a host and the scheduler. All clock readings are of the host's own monotonic clock.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName

/** Describes a host: its identity, location, labels and capacity. */
@Serializable
public data class HostDescription(
    val incarnation: HostIncarnation,
    val pool: ServiceName,
    val failureDomain: FailureDomainName,
    val rack: RackName,
    val labels: List<String>,
    val capacity: Resources,
    val isDraining: Boolean = false,
    /** Latest crashes of executors on the host, oldest first; repeated in every description. */
    val crashes: List<ExecutorCrash> = emptyList(),
) {
    /** How the incarnation [earlier] of the same host ended. */
    internal fun endOf(earlier: HostIncarnation): IncarnationEnd =
        if (crashes.any { it.incarnation == earlier }) IncarnationEnd.CRASHED else IncarnationEnd.UNOBSERVED
}

/** How an incarnation of a host ended. */
public enum class IncarnationEnd {
    /** The executor ended without notice, and the agent of its host saw it. */
    CRASHED,

    /** The executor deregistered. */
    DEREGISTERED,

    /** A later incarnation has replaced it while no agent was there, as after a loss of power. */
    UNOBSERVED,
}

/** How a run ended. */
@Serializable
public enum class RunOutcome {
    DONE,

    /** The task or its host failed; counts as an attempt. */
    FAILED,

    /** The scheduler stopped it. */
    STOPPED,

    /** The lease of the host expired. */
    LAPSED,

    /** Another member of the gang ended. */
    GANG_BROKEN,

    /** The other members of the gang did not start in time. */
    GANG_INCOMPLETE,
}

/** Status of a run that a host holds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RunStatus(
    val run: TaskRun,
    val checkpoint: String,
    /** Share of full speed at which the task works, 0 to 100. */
    val workPercent: Int,
    /** Tail latency in milliseconds for a serving task; thousandths of a core in use for any other task. */
    val measurement: Int,
)

/** End of a run on a host; [number] rises by one with each end within one incarnation of the host. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RunEnd(
    val number: Long,
    val run: TaskRun,
    val outcome: RunOutcome,
    val checkpoint: String,
)

/** Everything that a host held when it was polled. */
@Serializable
public data class HostReport(
    val incarnation: HostIncarnation,
    /** Rises with each poll of the host by one agent process. */
    @SerialName("lookNumber")
    val pollNumber: Long,
    val clockMillis: Long,
    val running: List<RunStatus>,
    /** Ends that the scheduler has not acknowledged yet, by number. */
    val ends: List<RunEnd>,
    /** False if the host has more ends than are listed. */
    val listsAllEnds: Boolean = true,
)

/** Outcome of a start command. */
@Serializable
public enum class StartOutcome {
    /** The run has started, or was running already. */
    STARTED,

    /** The host has too little free capacity. */
    NO_ROOM,

    /** The same or a later run of the task has ended or was stopped on the host. */
    SUPERSEDED,

    /** The deadline of the command had passed. */
    LATE,

    /** The host refuses work because it is unhealthy or draining. */
    UNAVAILABLE,

    /** The host accepts commands only from a newer leader. */
    FENCED,

    /** The host can't interpret the command. */
    REJECTED,
}

/** Answer to a start command. After any outcome but [StartOutcome.STARTED] the command has no later effect. */
@Serializable
public data class StartResult(
    val incarnation: HostIncarnation,
    val run: TaskRun,
    val outcome: StartOutcome,
    /** Number of the last poll that began before the outcome was known. */
    @SerialName("lookNumber")
    val pollNumber: Long,
)

/** Answer to a stop command. After it the run can no longer start. */
@Serializable
public data class StopResult(
    val incarnation: HostIncarnation,
    val run: TaskRun,
    /** Number of the last poll that began before the answer arrived. */
    @SerialName("lookNumber")
    val pollNumber: Long,
)

/** Command to start [run] on a host. */
@Serializable
public data class StartCommand(
    val run: TaskRun,
    val payload: String,
    val checkpoint: String,
)
