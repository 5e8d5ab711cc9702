/*
 * Messages that an agent sends to an entry. The agent opens the connection and says hello first.
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
     * State of the host, sent at each heartbeat. [tasks] holds every attempt that the worker holds, also ended ones
     * until the owner has recorded their end; it is empty for entries that don't own the host's partition.
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

    /** What the agent knows of the requests that an entry asked about. */
    @Serializable
    @SerialName("inquiryAnswer")
    public data class InquiryAnswer(
        val results: List<InquiryResult>,
    ) : AgentMessage()

    /** Something happened to a task. Repeated until the owner has recorded it. */
    @Serializable
    @SerialName("taskEvent")
    public data class TaskEvent(
        val taskId: TaskId,
        val token: FencingToken,
        val change: TaskChange,
    ) : AgentMessage()

    /** Last message of an agent that stops. */
    @Serializable
    @SerialName("goodbye")
    public data object Goodbye : AgentMessage()
}

/** Upstreams of one service on the host. */
@Serializable
public data class ServiceState(
    val service: ServiceName,
    val freeSlots: Int,
    val queueLength: Int,
    val leaving: Boolean,
)

/**
 * An attempt that the worker holds, with its usage as last measured. Written without field names: a host reports
 * about 32 attempts every second, and names took two thirds of the bytes.
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

/** What happened to an attempt. */
@Serializable
public sealed class TaskChange {
    /** The worker has started it. */
    @Serializable
    @SerialName("started")
    public data object Started : TaskChange()

    /** The agent or the worker refused to start it; nothing ran. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val code: ResultCode,
        val detail: String,
    ) : TaskChange()

    /** It reached a checkpoint. */
    @Serializable
    @SerialName("checkpointed")
    public data class Checkpointed(
        val checkpoint: Checkpoint,
    ) : TaskChange()

    /** It finished the task. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val result: String,
    ) : TaskChange()

    /** It is stopped for good, with the last checkpoint it reached. */
    @Serializable
    @SerialName("stopped")
    public data class Stopped(
        val reason: ReleaseReason,
        val checkpoint: Checkpoint,
        val detail: String,
    ) : TaskChange()
}
