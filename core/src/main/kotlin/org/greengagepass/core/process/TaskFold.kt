/*
 * Effects of the records of a task's life cycle. A record whose condition does not hold at its position has no effect.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.process.TaskRecord.Assigned
import org.greengagepass.core.process.TaskRecord.Cancelled
import org.greengagepass.core.process.TaskRecord.Checkpointed
import org.greengagepass.core.process.TaskRecord.Failed
import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.LifeCycleRecord
import org.greengagepass.core.process.TaskRecord.Released
import org.greengagepass.core.process.TaskRecord.Started

/** The task after [record], or null if the record has no effect on it. */
internal fun Task.after(
    record: LifeCycleRecord,
    position: RecordPosition,
): Task? =
    when (record) {
        is Assigned -> afterAssigned(record, position)
        is Started -> attemptWith(record.token)?.let { copy(state = TaskState.Running(it)) }
        is Checkpointed -> attemptWith(record.token)?.let { afterCheckpoint(record.checkpoint) }
        is Released -> attemptWith(record.token)?.let { afterRelease(record, it, position) }
        is Finished -> attemptWith(record.token)?.let { ended(TaskState.Finished(record.result), position) }
        is Failed -> afterFailed(record, position)
        is Cancelled -> if (cancelRequested && !hasEnded) ended(TaskState.Cancelled, position) else null
    }

/** The task after its team requested the cancellation; null if it has ended or was requested before. */
internal fun Task.afterCancelRequest(position: RecordPosition): Task? =
    when {
        hasEnded || cancelRequested -> null
        state is TaskState.Waiting -> copy(cancelRequested = true).ended(TaskState.Cancelled, position)
        else -> copy(cancelRequested = true)
    }

private fun Task.attemptWith(token: FencingToken): Attempt? = state.attempt?.takeIf { it.token == token }

private fun Task.afterAssigned(
    record: Assigned,
    position: RecordPosition,
): Task? {
    val isValid =
        state is TaskState.Waiting && record.previousToken == lastToken && record.resumeFrom == checkpoint
    return if (isValid) {
        copy(
            state = TaskState.Assigned(Attempt(position.token, record.host, record.limit)),
            phaseSince = position.token,
            lastToken = position.token,
        )
    } else {
        null
    }
}

private fun Task.afterCheckpoint(reached: Checkpoint): Task? =
    if (reached.number > checkpoint.number) {
        copy(checkpoint = reached, failures = FailureHistory(exceededLimit = failures.exceededLimit))
    } else {
        null
    }

private fun Task.afterRelease(
    record: Released,
    attempt: Attempt,
    position: RecordPosition,
): Task {
    val released = copy(failures = failures.after(record.reason, attempt))
    return if (cancelRequested) {
        released.ended(TaskState.Cancelled, position)
    } else {
        released.copy(state = TaskState.Waiting, phaseSince = position.token)
    }
}

private fun FailureHistory.after(
    reason: ReleaseReason,
    attempt: Attempt,
): FailureHistory {
    val exceeded = exceededLimit
    return when {
        reason == ReleaseReason.FAILED -> copy(count = count + 1, hosts = hosts + attempt.host)

        reason != ReleaseReason.LIMIT_EXCEEDED -> this

        exceeded != null && attempt.limit.fitsIn(exceeded) ->
            copy(count = count + 1, hosts = hosts + attempt.host)

        else -> copy(exceededLimit = attempt.limit)
    }
}

private fun Task.afterFailed(
    record: Failed,
    position: RecordPosition,
): Task? =
    if (state is TaskState.Waiting) {
        ended(TaskState.Failed(record.code, record.detail), position)
    } else {
        null
    }

private fun Task.ended(
    endState: TaskState,
    position: RecordPosition,
): Task = copy(state = endState, phaseSince = position.token, endedAtEpochMillis = position.epochMillis)
