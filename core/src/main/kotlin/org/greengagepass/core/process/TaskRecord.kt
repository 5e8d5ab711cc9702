/*
 * Records of a partition's stream. The fold of the stream in order is the only authority on which tasks exist, which
 * hosts run them, and which keys of non-idempotent requests are in use. A record of an epoch that is no longer current
 * has no effect.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.Answer

/** A batch or standing task as its team submitted it. */
@Serializable
public data class TaskSpecification(
    val taskId: TaskId,
    val team: TeamName,
    val profile: ProfileName,
    val kind: WorkKind,
    val declared: Resources,
    val input: String = "",
)

/** A caller's key for a non-idempotent request, unique within its team. */
@Serializable
public data class RequestKey(
    val team: TeamName,
    val idempotencyKey: String,
)

/** A point from which a task can be resumed. Number 0 is its beginning. */
@Serializable
public data class Checkpoint(
    val number: Long,
    val reference: String,
) {
    public companion object {
        /** The beginning of a task, from which its first attempt starts. */
        public val BEGINNING: Checkpoint = Checkpoint(number = 0, reference = "")
    }
}

/** One record of a partition's stream. */
@Serializable
public sealed class TaskRecord {
    /** [owner] claims the partition if its epoch is still [expectedEpoch]. */
    @Serializable
    @SerialName("partitionClaimed")
    public data class PartitionClaimed(
        val owner: EntryId,
        val address: String,
        val expectedEpoch: Epoch,
    ) : TaskRecord()

    /** A record that is valid only while its writer owns the partition. */
    public sealed interface OwnerRecord {
        /** Epoch under which the writer owned the partition. */
        public val epoch: Epoch
    }

    /** A record that changes the life cycle of one task. */
    public sealed interface LifeCycleRecord : OwnerRecord {
        /** The task that changes. */
        public val taskId: TaskId
    }

    /** A record about the key of a non-idempotent request. */
    public sealed interface KeyRecord : OwnerRecord

    /**
     * The owner releases the partition and grants nothing after this record. An earlier owner that was replaced
     * without a release may still renew leases for [remainingWaitMillis], so the next owner has to wait that long too.
     */
    @Serializable
    @SerialName("partitionReleased")
    public data class PartitionReleased(
        override val epoch: Epoch,
        val remainingWaitMillis: Long = 0,
    ) : TaskRecord(),
        OwnerRecord

    /** The owner is alive. */
    @Serializable
    @SerialName("ownerHeartbeat")
    public data class OwnerHeartbeat(
        override val epoch: Epoch,
        val recordedAtEpochMillis: Long,
    ) : TaskRecord(),
        OwnerRecord

    /** A task was submitted. A second record for the same task has no effect. */
    @Serializable
    @SerialName("submitted")
    public data class Submitted(
        val specification: TaskSpecification,
        val recordedAtEpochMillis: Long,
    ) : TaskRecord()

    /** The team of the task requested its cancellation. */
    @Serializable
    @SerialName("cancelRequested")
    public data class CancelRequested(
        val taskId: TaskId,
    ) : TaskRecord()

    /** The task is assigned to [host]. The record's position is the fencing token of the attempt. */
    @Serializable
    @SerialName("assigned")
    public data class Assigned(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val host: HostId,
        val previousToken: FencingToken,
        val resumeFrom: Checkpoint,
        val limit: Resources,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The worker has started the attempt. */
    @Serializable
    @SerialName("started")
    public data class Started(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val token: FencingToken,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The attempt reached [checkpoint]. */
    @Serializable
    @SerialName("checkpointed")
    public data class Checkpointed(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val token: FencingToken,
        val checkpoint: Checkpoint,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The attempt is proven to have ended without finishing the task, which waits for a new attempt. */
    @Serializable
    @SerialName("released")
    public data class Released(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val token: FencingToken,
        val reason: ReleaseReason,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The task is done. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val token: FencingToken,
        val result: String,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The task failed and is not tried again. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        override val epoch: Epoch,
        override val taskId: TaskId,
        val code: ResultCode,
        val detail: String,
    ) : TaskRecord(),
        LifeCycleRecord

    /** The task was cancelled at the request of its team. */
    @Serializable
    @SerialName("cancelled")
    public data class Cancelled(
        override val epoch: Epoch,
        override val taskId: TaskId,
    ) : TaskRecord(),
        LifeCycleRecord

    /** A non-idempotent request was accepted and may be dispatched once, with this record's position as token. */
    @Serializable
    @SerialName("requestClaimed")
    public data class RequestClaimed(
        override val epoch: Epoch,
        val key: RequestKey,
        val bodyDigest: String,
        val recordedAtEpochMillis: Long,
    ) : TaskRecord(),
        KeyRecord

    /** The request ran and returned [answer]. */
    @Serializable
    @SerialName("requestCompleted")
    public data class RequestCompleted(
        override val epoch: Epoch,
        val key: RequestKey,
        val answer: Answer,
    ) : TaskRecord(),
        KeyRecord

    /** It is unknown whether the request ran; it is never dispatched again. */
    @Serializable
    @SerialName("requestUnknown")
    public data class RequestUnknown(
        override val epoch: Epoch,
        val key: RequestKey,
        val code: ResultCode,
    ) : TaskRecord(),
        KeyRecord

    /** The request is proven not to have run; its key is free again. */
    @Serializable
    @SerialName("requestNotRun")
    public data class RequestNotRun(
        override val epoch: Epoch,
        val key: RequestKey,
    ) : TaskRecord(),
        KeyRecord

    /** Keys whose retention has ended are dropped. */
    @Serializable
    @SerialName("keysForgotten")
    public data class KeysForgotten(
        override val epoch: Epoch,
        val keys: List<RequestKey>,
    ) : TaskRecord(),
        KeyRecord

    /** Ended tasks whose retention has ended are dropped. */
    @Serializable
    @SerialName("tasksForgotten")
    public data class TasksForgotten(
        override val epoch: Epoch,
        val tasks: List<TaskId>,
    ) : TaskRecord(),
        OwnerRecord
}

/** Why an attempt ended without finishing its task. */
@Serializable
public enum class ReleaseReason {
    /** The agent refused the start, so nothing ran. */
    REFUSED,

    /** The task was checkpointed and stopped, to free capacity or to end interference. */
    EVICTED,

    /** The task exceeded its limit and was stopped. */
    LIMIT_EXCEEDED,

    /** The attempt failed on the worker. */
    FAILED,

    /** The lease of the attempt expired. */
    LEASE_ENDED,

    /** The failure domain was taken out of service. */
    FAILURE_DOMAIN_OUT,
}

/** Records that one append writes to a partition's stream; [sequence] orders the batches of a writer. */
@Serializable
public data class TaskBatch(
    val writer: String,
    val sequence: Long,
    val records: List<TaskRecord>,
)
