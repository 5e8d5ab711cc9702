/*
 * Inputs of the owner of a partition. They are serializable, so that histories can be recorded and replayed.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/** An event that an entry passes to [PartitionOwner]. */
@Serializable
public sealed class OwnerInput {
    /**
     * A read of the partition's stream from [fromOffset] on, sent at [sentAt] by the entry's monotonic clock.
     * It omits batches that could not be decoded. A failed read is not an input.
     */
    @Serializable
    @SerialName("page")
    public data class PageRead(
        val sentAt: Timestamp,
        val fromOffset: Long,
        val batches: List<BatchAtOffset>,
        val nextOffset: Long,
        val oldestOffset: Long = 0,
    ) : OwnerInput()

    /** An agent of the partition reports the state of its host. */
    @Serializable
    @SerialName("heartbeat")
    public data class HostHeartbeat(
        val host: HostId,
        val incarnation: Incarnation,
        val sequence: Long,
        val failureDomain: FailureDomainName,
        val rack: RackName,
        val workerClock: Timestamp,
        val highestEpoch: Epoch,
        val capacity: Resources,
        val free: Resources,
        /** All attempts that the worker holds, including ended ones until the owner has recorded their end. */
        val attempts: List<HeldAttempt>,
        val draining: Boolean = false,
    ) : OwnerInput()

    /** The state of an attempt changed. Agents repeat the event until a grant lists the token as recorded. */
    @Serializable
    @SerialName("attemptEvent")
    public data class AttemptEvent(
        val host: HostId,
        val incarnation: Incarnation,
        val taskId: TaskId,
        val token: FencingToken,
        val change: AttemptChange,
    ) : OwnerInput()

    /** A caller submits a task and waits until [deadline] by the entry's monotonic clock. */
    @Serializable
    @SerialName("submit")
    public data class SubmitTask(
        val requestId: RequestId,
        val specification: TaskSpecification,
        val deadline: Timestamp,
    ) : OwnerInput()

    /** A caller asks to cancel a task and waits until [deadline] by the entry's monotonic clock. */
    @Serializable
    @SerialName("cancel")
    public data class CancelTask(
        val requestId: RequestId,
        val taskId: TaskId,
        val deadline: Timestamp,
    ) : OwnerInput()

    /** A caller sends a non-idempotent request and waits until [deadline] by the entry's monotonic clock. */
    @Serializable
    @SerialName("claimRequest")
    public data class ClaimRequest(
        val requestId: RequestId,
        val key: RequestKey,
        val bodyDigest: String,
        val deadline: Timestamp,
    ) : OwnerInput()

    /** The dispatch that was permitted under [token] has ended; there will be no other dispatch under it. */
    @Serializable
    @SerialName("requestEnded")
    public data class RequestEnded(
        val key: RequestKey,
        val token: FencingToken,
        val outcome: RequestOutcome,
    ) : OwnerInput()

    /** The task is to be checkpointed and stopped, to free capacity or to end interference. */
    @Serializable
    @SerialName("evict")
    public data class EvictTask(
        val taskId: TaskId,
    ) : OwnerInput()

    /** Time has passed. Sent at least once per flush window. */
    @Serializable
    @SerialName("tick")
    public data object Tick : OwnerInput()

    /** The entry is stopping: the partition is to be released and not claimed again. */
    @Serializable
    @SerialName("shutdown")
    public data object Shutdown : OwnerInput()
}

/** A batch at its offset in the log. */
@Serializable
public data class BatchAtOffset(
    val offset: Long,
    val batch: TaskBatch,
)

/** An attempt that a worker holds, with its last checkpoint. */
@Serializable
public data class HeldAttempt(
    val taskId: TaskId,
    val token: FencingToken,
    val checkpoint: Checkpoint,
)

/** A change of the state of an attempt. */
@Serializable
public sealed class AttemptChange {
    /** The worker has started the attempt. */
    @Serializable
    @SerialName("started")
    public data object Started : AttemptChange()

    /** The attempt was not started, and this agent refuses every later start under the same token. */
    @Serializable
    @SerialName("refused")
    public data class Refused(
        val code: ResultCode,
    ) : AttemptChange()

    /** The attempt reached a checkpoint. */
    @Serializable
    @SerialName("checkpointed")
    public data class Checkpointed(
        val checkpoint: Checkpoint,
    ) : AttemptChange()

    /** The attempt finished the task. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val result: String,
    ) : AttemptChange()

    /** The attempt has stopped for good at its last checkpoint. */
    @Serializable
    @SerialName("stopped")
    public data class Stopped(
        val reason: ReleaseReason,
        val checkpoint: Checkpoint,
    ) : AttemptChange()
}
