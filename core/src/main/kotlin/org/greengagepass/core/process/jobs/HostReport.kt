/*
 * What a host says of itself and what it is told. All clock readings in it are of the host's own steady clock.
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

/** What a host is. */
@Serializable
public data class HostDescription(
    val incarnation: HostIncarnation,
    val pool: ServiceName,
    val failureDomain: FailureDomainName,
    val rack: RackName,
    val labels: List<String>,
    val capacity: Resources,
    val isDraining: Boolean = false,
)

/** How a run ended. */
@Serializable
public enum class RunOutcome {
    DONE,

    /** By the task's own fault or its host's; counts as an attempt. */
    FAILED,

    /** The scheduler stopped it. */
    STOPPED,

    /** The lease of the host ran out. */
    LAPSED,

    /** Another member of the gang ended. */
    GANG_BROKEN,

    /** The other members of the gang did not come in time. */
    GANG_INCOMPLETE,
}

/** A run that a host holds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RunStatus(
    val run: TaskRun,
    val checkpoint: String,
    /** Share of full speed at which the task works, 0 to 100. */
    val workPercent: Int,
    /** Tail latency in milliseconds of a serving task, otherwise thousandths of a core in use. */
    val measurement: Int,
)

/** A run that has ended on a host; [number] rises by one with each end in one life of the host. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RunEnd(
    val number: Long,
    val run: TaskRun,
    val outcome: RunOutcome,
    val checkpoint: String,
)

/** Everything that a host held when it was asked. */
@Serializable
public data class HostReport(
    val incarnation: HostIncarnation,
    /** Rises with each look of one agent process at its host. */
    @SerialName("lookNumber")
    val pollNumber: Long,
    val clockMillis: Long,
    val running: List<RunStatus>,
    /** Ends that the scheduler has not acknowledged yet, in order. */
    val ends: List<RunEnd>,
    /** False if the host has more ends than it told. */
    val listsAllEnds: Boolean = true,
)

/** What became of an order to start a run. */
@Serializable
public enum class StartOutcome {
    /** The run is there, or was there already. */
    STARTED,

    /** The host had no room for it. */
    NO_ROOM,

    /** The same or a higher run has ended or was stopped there. */
    SUPERSEDED,

    /** The order's deadline had passed. */
    LATE,

    /** The host refuses work because it is unhealthy or leaves. */
    UNAVAILABLE,

    /** The host follows a newer scheduler. */
    FENCED,

    /** The host does not understand the order. */
    REJECTED,
}

/** Answer to an order to start; every outcome but [StartOutcome.STARTED] is certain not to run later. */
@Serializable
public data class StartResult(
    val incarnation: HostIncarnation,
    val run: TaskRun,
    val outcome: StartOutcome,
    /** Number of the last look that was begun before the outcome was known. */
    @SerialName("lookNumber")
    val pollNumber: Long,
)

/** Answer to an order to stop; from then on the run can't start any more. */
@Serializable
public data class StopResult(
    val incarnation: HostIncarnation,
    val run: TaskRun,
    /** Number of the last look that was begun before the answer came. */
    @SerialName("lookNumber")
    val pollNumber: Long,
)

/** Tells a host to start [run]. */
@Serializable
public data class StartCommand(
    val run: TaskRun,
    val payload: String,
    val checkpoint: String,
)
