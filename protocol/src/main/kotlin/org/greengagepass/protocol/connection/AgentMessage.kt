/*
 * Messages from an agent to an entry. The agent opens the connection and sends a hello first.
 */
package org.greengagepass.protocol.connection

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.request.RequestOutcome

/** A message from an agent to an entry. */
@Serializable
public sealed class AgentMessage {
    /** First message of a connection. */
    @Serializable
    @SerialName("hello")
    public data class Hello(
        val protocolVersion: Int,
        val host: HostId,
        val incarnation: Incarnation,
        val failureDomain: FailureDomainName,
        val rack: RackName,
    ) : AgentMessage()

    /**
     * State of the host, sent with each heartbeat. [tasks] lists all attempts that the worker holds, including ended
     * ones until the owner has recorded their end. It is empty for entries that don't own the host's partition.
     */
    @Serializable
    @SerialName("heartbeat")
    public data class Heartbeat(
        val sequence: Long,
        val agentClock: Timestamp,
        val workerClock: Timestamp?,
        val highestEpoch: Epoch,
        val configurationVersion: FencingToken,
        val capacity: Resources,
        val free: Resources,
        val services: List<ServiceState>,
        val tasks: List<TaskReport>,
        val draining: Boolean,
    ) : AgentMessage()

    /** Outcome of a dispatched request. */
    @Serializable
    @SerialName("requestAnswer")
    public data class RequestAnswer(
        val requestId: RequestId,
        val outcome: RequestOutcome,
    ) : AgentMessage()

    /** Answer to [EntryMessage.Inquire] with the state of each request. */
    @Serializable
    @SerialName("inquiryAnswer")
    public data class InquiryAnswer(
        val results: List<InquiryResult>,
    ) : AgentMessage()

    /** Event of an attempt. The end of an attempt is repeated until the owner has recorded it. */
    @Serializable
    @SerialName("taskEvent")
    public data class TaskEvent(
        val taskId: TaskId,
        val token: FencingToken,
        val change: TaskChange,
    ) : AgentMessage()

    /** Last message of a stopping agent. */
    @Serializable
    @SerialName("goodbye")
    public data object Goodbye : AgentMessage()
}

/** State of the upstreams of one service on the host. */
@Serializable
public data class ServiceState(
    val service: ServiceName,
    val freeSlots: Int,
    val queueLength: Int,
    val leaving: Boolean,
)

/**
 * An attempt that the worker holds, with its last measured usage. Encoded without field names, since a host reports
 * about 32 attempts every second and the names took two thirds of the bytes.
 */
@OptIn(ExperimentalSerializationApi::class)
@CborArray
@Serializable
public data class TaskReport(
    val taskId: TaskId,
    val token: FencingToken,
    val kind: WorkKind,
    @Serializable(with = ResourcesAsList::class)
    val limit: Resources,
    @Serializable(with = ResourcesAsList::class)
    val usage: Resources,
    val usageMeasuredAtWorkerClock: Timestamp,
    val checkpoint: Checkpoint,
)

/** Change in the state of an attempt. */
@Serializable
public sealed class TaskChange {
    /** The worker has started the attempt. */
    @Serializable
    @SerialName("started")
    public data object Started : TaskChange()

    /** The agent or the worker refused to start the attempt; nothing ran. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val code: ResultCode,
        val detail: String,
    ) : TaskChange()

    /** The attempt reached a checkpoint. */
    @Serializable
    @SerialName("checkpointed")
    public data class Checkpointed(
        val checkpoint: Checkpoint,
    ) : TaskChange()

    /** The attempt finished the task. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val result: String,
    ) : TaskChange()

    /** The attempt has stopped permanently; [checkpoint] is the last one that it reached. */
    @Serializable
    @SerialName("stopped")
    public data class Stopped(
        val reason: ReleaseReason,
        val checkpoint: Checkpoint,
        val detail: String,
    ) : TaskChange()
}
