/*
 * State of tasks and of keys of non-idempotent requests in the fold of a partition's stream. All values are immutable
 * and serializable, so that a snapshot can contain them directly.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.request.Answer

/** One attempt to run a task: the [token] is the position of the record that assigned it to [host]. */
@Serializable
public data class Attempt(
    val token: FencingToken,
    val host: HostId,
    val limit: Resources,
)

/** Phase of the life cycle of a task. */
@Serializable
public sealed class TaskState {
    /** The attempt that may be running, if there is one. */
    public open val attempt: Attempt?
        get() = null

    /** The task has no attempt and can be assigned. */
    @Serializable
    @SerialName("waiting")
    public data object Waiting : TaskState()

    /** Assigned to a host; no start is recorded yet. */
    @Serializable
    @SerialName("assigned")
    public data class Assigned(
        override val attempt: Attempt,
    ) : TaskState()

    /** Recorded as started by the worker. */
    @Serializable
    @SerialName("running")
    public data class Running(
        override val attempt: Attempt,
    ) : TaskState()

    /** The task is done. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val result: String,
    ) : TaskState()

    /** The task failed and is not tried again. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val code: ResultCode,
        val detail: String,
    ) : TaskState()

    /** The task was cancelled at the request of its team. */
    @Serializable
    @SerialName("cancelled")
    public data object Cancelled : TaskState()
}

/**
 * Consecutive failed attempts without progress between them. An attempt that exceeded its limit counts only if the
 * limit was not raised above [exceededLimit], because a higher limit may be sufficient.
 */
@Serializable
public data class FailureHistory(
    val count: Int = 0,
    val hosts: Set<HostId> = emptySet(),
    val exceededLimit: Resources? = null,
)

/** A task of the partition. */
@Serializable
public data class Task(
    val specification: TaskSpecification,
    val submittedAt: FencingToken,
    val submittedAtEpochMillis: Long,
    val state: TaskState = TaskState.Waiting,
    /** Position at which the task began to wait, was assigned, or ended; determines the order of the indices. */
    val phaseSince: FencingToken = submittedAt,
    val checkpoint: Checkpoint = Checkpoint.BEGINNING,
    val lastToken: FencingToken = FencingToken.NONE,
    val cancelRequested: Boolean = false,
    val failures: FailureHistory = FailureHistory(),
    val endedAtEpochMillis: Long = 0,
) {
    /** Identifier of the task. */
    public val id: TaskId
        get() = specification.taskId

    /** True if the task is finished, failed or cancelled. */
    public val hasEnded: Boolean
        get() = state !is TaskState.Waiting && state.attempt == null

    /** True if the task has failed so often, on so many hosts, that it is not tried again. */
    public val cannotRun: Boolean
        get() = failures.count >= FAILURES_MAXIMUM && failures.hosts.size >= FAILED_HOSTS_MINIMUM

    public companion object {
        /** Consecutive failures after which a task is not tried again, if they happened on enough hosts. */
        public const val FAILURES_MAXIMUM: Int = 5

        /** Hosts on which a task must have failed, so that one faulty host does not end it. */
        public const val FAILED_HOSTS_MINIMUM: Int = 3
    }
}

/** State of a key. */
@Serializable
public sealed class KeyState {
    /** The request may have been dispatched under [token] by the owner of [epoch]. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(
        val token: FencingToken,
        val epoch: Epoch,
    ) : KeyState()

    /** The request ran and returned [answer]. */
    @Serializable
    @SerialName("completed")
    public data class Completed(
        val answer: Answer,
    ) : KeyState()

    /** It is unknown whether the request ran. */
    @Serializable
    @SerialName("unknown")
    public data class Unknown(
        val code: ResultCode,
    ) : KeyState()
}

/** A key of a non-idempotent request with the digest of the body that it was first used with. */
@Serializable
public data class RecordedKey(
    val key: RequestKey,
    val bodyDigest: String,
    val state: KeyState,
    /** Position of the record that set the state; determines the order of the index. */
    val since: FencingToken,
    val sinceEpochMillis: Long,
)
