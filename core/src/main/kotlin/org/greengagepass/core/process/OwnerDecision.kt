/*
 * What the owner of a partition decides. The entry carries the decisions out in their order.
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

/** Something that an entry has to do for a partition. */
@Serializable
public sealed class OwnerDecision {
    /** Append [batch] to the partition's stream. The answer to the append is not an input; reading tells. */
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

    /** Dispatch the request to one agent; a further one only after proof that the one before did not run. */
    @Serializable
    @SerialName("dispatchPermitted")
    public data class DispatchPermitted(
        val requestId: RequestId,
        val key: RequestKey,
        val token: FencingToken,
    ) : OwnerDecision()

    /** Tell the caller of [requestId]. */
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

    /** The entry no longer owns the partition; [address] is that of the new owner, if there is one. */
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

    /** Records before [oldestOffset] expired unread: restore the newest snapshot into a new [PartitionOwner]. */
    @Serializable
    @SerialName("restoreRequired")
    public data class RestoreRequired(
        val oldestOffset: Long,
    ) : OwnerDecision()
}

/** What a caller is told. */
@Serializable
public sealed class CallerAnswer {
    /** The task exists. */
    @Serializable
    @SerialName("submitted")
    public data class Submitted(
        val taskId: TaskId,
    ) : CallerAnswer()

    /** The wish to cancel is recorded, or the task had ended already; [state] is that of the task now. */
    @Serializable
    @SerialName("cancelRecorded")
    public data class CancelRecorded(
        val state: TaskState,
    ) : CallerAnswer()

    /**
     * This call claimed nothing, and the key is not known here. Whether a request with the key ran can only be said by
     * the partition's owner, which this entry is not, or can't prove to be.
     */
    @Serializable
    @SerialName("notOwner")
    public data object NotOwner : CallerAnswer()

    /** The request has ended, or did not take place, or its outcome is unknown. */
    @Serializable
    @SerialName("ended")
    public data class Ended(
        val outcome: RequestOutcome,
    ) : CallerAnswer()
}

/**
 * What the owner permits an agent, in answer to the heartbeat [sequence]. An agent ignores a grant of a lower epoch
 * than the highest it has seen, and one that answers an older heartbeat than a grant it has taken.
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
    /** Tokens whose end is recorded: the agent forgets them and stops repeating their events. */
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

/** What an agent is to do with an attempt. */
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
