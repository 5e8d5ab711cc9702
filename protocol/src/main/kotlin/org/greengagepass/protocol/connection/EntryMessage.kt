/*
 * Messages from an entry to an agent. Deadlines are readings of the clock of the process that checks them: the worker's
 * for grants, the agent's for requests.
 */
package org.greengagepass.protocol.connection

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.version.Priority

/** A message from an entry to an agent. */
@Serializable
public sealed class EntryMessage {
    /** Answer to a hello with a supported protocol version. */
    @Serializable
    @SerialName("welcome")
    public data class Welcome(
        val protocolVersion: Int,
        val entryAddresses: List<String>,
        val partition: PartitionNumber,
        val ownerAddress: String?,
    ) : EntryMessage()

    /** Refusal of the connection, which is then closed. */
    @Serializable
    @SerialName("refusal")
    public data class Refusal(
        val code: ResultCode,
        val detail: String,
    ) : EntryMessage()

    /** Answer to the heartbeat with the same sequence number. */
    @Serializable
    @SerialName("heartbeatAnswer")
    public data class HeartbeatAnswer(
        val sequence: Long,
        val configurationVersion: FencingToken,
        val failureDomainOut: Boolean,
        val entryAddresses: List<String>,
        val ownerAddress: String?,
    ) : EntryMessage()

    /**
     * Permissions that the owner of the host's partition grants in response to the heartbeat with the same sequence
     * number. [recorded] lists the attempts whose end is in the log: the agent removes them and stops repeating their
     * events.
     */
    @Serializable
    @SerialName("grant")
    public data class Grant(
        val sequence: Long,
        val epoch: Epoch,
        val leaseDeadlineWorkerClock: Timestamp,
        val startDeadlineWorkerClock: Timestamp?,
        val renewals: List<FencingToken>,
        val starts: List<TaskStart>,
        val commands: List<TaskCommand>,
        val recorded: List<FencingToken>,
    ) : EntryMessage()

    /** A request for an upstream on the host. */
    @Serializable
    @SerialName("dispatch")
    public data class Dispatch(
        val requestId: RequestId,
        val traceparent: String,
        val service: ServiceName,
        val operation: WorkKind,
        val body: String,
        val deadlineAgentClock: Timestamp,
        val idempotent: Boolean,
        val priority: Priority = Priority.NORMAL,
    ) : EntryMessage()

    /** Asks for the state of requests that were dispatched on an earlier connection. */
    @Serializable
    @SerialName("inquire")
    public data class Inquire(
        val inquiries: List<Inquiry>,
    ) : EntryMessage()
}

/** A task to start on the worker. */
@Serializable
public data class TaskStart(
    val taskId: TaskId,
    val token: FencingToken,
    val kind: WorkKind,
    val limit: Resources,
    val resumeFrom: Checkpoint,
    val input: String,
)

/** Command of the owner for a running attempt. */
@Serializable
public sealed class TaskCommand {
    /** Token of the attempt. */
    public abstract val token: FencingToken

    /** Checkpoint the attempt and stop it. */
    @Serializable
    @SerialName("evict")
    public data class Evict(
        override val token: FencingToken,
        val reason: ReleaseReason = ReleaseReason.EVICTED,
    ) : TaskCommand()

    /** Stop the attempt without a checkpoint. */
    @Serializable
    @SerialName("stop")
    public data class Stop(
        override val token: FencingToken,
    ) : TaskCommand()

    /** Checkpoint the attempt, which continues to run. */
    @Serializable
    @SerialName("takeCheckpoint")
    public data class TakeCheckpoint(
        override val token: FencingToken,
    ) : TaskCommand()

    /** Limit the attempt to [permille] of its processor limit. */
    @Serializable
    @SerialName("throttle")
    public data class Throttle(
        override val token: FencingToken,
        val permille: Int,
    ) : TaskCommand()
}
