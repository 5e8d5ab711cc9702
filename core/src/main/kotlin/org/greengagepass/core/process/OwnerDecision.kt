/*
 * Decisions of the owner of a partition. The entry carries them out in order.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.RequestOutcome

/** An action that an entry has to carry out for a partition. */
@Serializable
public sealed class OwnerDecision {
    /** Append [batch] to the partition's stream. The answer to the append is no input; reading shows its outcome. */
    @Serializable
    @SerialName("append")
    public data class Append(
        val batch: TaskBatch,
    ) : OwnerDecision()

    /** Send [grant] to the agent of [incarnation] on [host]; drop it if that agent is no longer connected. */
    @Serializable
    @SerialName("sendGrant")
    public data class SendGrant(
        val host: HostId,
        val incarnation: Incarnation,
        val grant: HostGrant,
    ) : OwnerDecision()

    /** Dispatch the request to one agent, and to another one only after proof that it did not run at the first. */
    @Serializable
    @SerialName("dispatchPermitted")
    public data class DispatchPermitted(
        val requestId: RequestId,
        val key: RequestKey,
        val token: FencingToken,
    ) : OwnerDecision()

    /** Send [answer] to the caller of [requestId]. */
    @Serializable
    @SerialName("answerCaller")
    public data class AnswerCaller(
        val requestId: RequestId,
        val answer: CallerAnswer,
    ) : OwnerDecision()

    /** The entry now owns the partition under [epoch]. */
    @Serializable
    @SerialName("ownershipGained")
    public data class OwnershipGained(
        val epoch: Epoch,
    ) : OwnerDecision()

    /** The entry no longer owns the partition; [address] is the address of the new owner, if there is one. */
    @Serializable
    @SerialName("ownershipLost")
    public data class OwnershipLost(
        val epoch: Epoch,
        val address: String?,
    ) : OwnerDecision()

    /** The release of the partition is in the log; the entry may stop. */
    @Serializable
    @SerialName("releaseRecorded")
    public data object ReleaseRecorded : OwnerDecision()

    /** Write a snapshot of the state now. */
    @Serializable
    @SerialName("writeSnapshot")
    public data class WriteSnapshot(
        val nextOffset: Long,
    ) : OwnerDecision()

    /** Unread records before [oldestOffset] have expired: restore the newest snapshot into a new [PartitionOwner]. */
    @Serializable
    @SerialName("restoreRequired")
    public data class RestoreRequired(
        val oldestOffset: Long,
    ) : OwnerDecision()
}

/** The answer to a caller. */
@Serializable
public sealed class CallerAnswer {
    /** The task exists. */
    @Serializable
    @SerialName("submitted")
    public data class Submitted(
        val taskId: TaskId,
    ) : CallerAnswer()

    /** The cancellation is recorded, or the task had already ended; [state] is the current state of the task. */
    @Serializable
    @SerialName("cancelRecorded")
    public data class CancelRecorded(
        val state: TaskState,
    ) : CallerAnswer()

    /**
     * This call claimed nothing, and the key is not known here. Only the partition's owner knows whether a request with
     * the key ran, and this entry is not the owner or can't prove that it is.
     */
    @Serializable
    @SerialName("notOwner")
    public data object NotOwner : CallerAnswer()

    /** The request ran, did not run, or has an unknown outcome. */
    @Serializable
    @SerialName("ended")
    public data class Ended(
        val outcome: RequestOutcome,
    ) : CallerAnswer()
}

/**
 * Leases, starts and commands for an agent, in answer to its heartbeat [sequence]. An agent ignores a grant of a lower
 * epoch than the highest it has seen, and a grant that answers an older heartbeat than one it has applied.
 */
@Serializable
public data class HostGrant(
    val sequence: Long,
    val epoch: Epoch,
    val leaseDeadlineWorkerClock: Timestamp,
    /** Null if no start is permitted now; [starts] is empty then. */
    val startDeadlineWorkerClock: Timestamp?,
    val renewals: List<FencingToken>,
    val starts: List<AttemptStart>,
    val commands: List<AttemptCommand>,
    /** Tokens whose end is recorded: the agent drops them and stops repeating their events. */
    val recorded: List<FencingToken>,
)

/** An attempt to start on the worker. */
@Serializable
public data class AttemptStart(
    val taskId: TaskId,
    val token: FencingToken,
    val kind: WorkKind,
    val limit: Resources,
    val resumeFrom: Checkpoint,
    val input: String,
)

/** A command to an agent about an attempt. */
@Serializable
public sealed class AttemptCommand {
    /** The attempt. */
    public abstract val token: FencingToken

    /** Checkpoint the attempt, stop it, and report it stopped for [reason]. */
    @Serializable
    @SerialName("evict")
    public data class Evict(
        override val token: FencingToken,
        val reason: ReleaseReason,
    ) : AttemptCommand()

    /** Stop the attempt without a checkpoint. */
    @Serializable
    @SerialName("stop")
    public data class Stop(
        override val token: FencingToken,
    ) : AttemptCommand()
}
