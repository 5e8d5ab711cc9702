/*
 * Attempts that the worker holds, and conversions between the types of the worker, the protocol and the core.
 */
package org.greengagepass.agent.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.AdmissionRefusal
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.process.ReportedAttempt
import org.greengagepass.core.process.StartAnswer
import org.greengagepass.core.process.StartRequest
import org.greengagepass.core.process.WorkerSnapshot
import org.greengagepass.protocol.connection.EntryMessage.Grant
import org.greengagepass.protocol.connection.TaskChange
import org.greengagepass.protocol.connection.TaskReport
import org.greengagepass.protocol.connection.TaskStart
import org.greengagepass.services.process.AttemptReport
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.PlatformError
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.WorkerReport
import org.greengagepass.services.process.WorkerStart

/** Attempts by token: those of the last report, and those started since. */
internal class HeldAttempts {
    private val attempts = LinkedHashMap<FencingToken, TaskReport>()
    private val startedSinceReport = LinkedHashMap<FencingToken, Timestamp>()
    private var newestClock = Timestamp(Long.MIN_VALUE)

    /** All attempts that the worker holds. */
    val reports: List<TaskReport> get() = attempts.values.toList()

    operator fun contains(token: FencingToken): Boolean = token in attempts

    /** Replaces the attempts by those in [report]. A new attempt may be missing there until its start deadline. */
    fun update(report: WorkerReport) {
        val listed = report.attempts.associate { it.token to it.taskReport() }
        startedSinceReport.entries.removeIf { (token, deadline) -> token in listed || report.clock > deadline }
        attempts.keys.removeIf { it !in listed && it !in startedSinceReport }
        attempts.putAll(listed)
        newestClock = report.clock
    }

    /** Adds the attempt of [start], which the worker has accepted. */
    fun add(start: WorkerStart) {
        if (start.token in attempts) return
        startedSinceReport[start.token] = start.startDeadline
        attempts[start.token] =
            TaskReport(
                taskId = start.taskId,
                token = start.token,
                kind = start.kind,
                limit = start.limit,
                usage = Resources.NONE,
                usageMeasuredAtWorkerClock = newestClock,
                checkpoint = start.resumeFrom,
            )
    }

    /** Sets the checkpoint of an attempt and returns the attempt, or null if the worker does not hold it. */
    fun updateCheckpoint(
        token: FencingToken,
        checkpoint: Checkpoint,
    ): TaskReport? = attempts.computeIfPresent(token) { _, report -> report.copy(checkpoint = checkpoint) }

    /** Removes the attempts with [tokens]. */
    fun remove(tokens: List<FencingToken>) {
        tokens.forEach { token ->
            attempts.remove(token)
            startedSinceReport.remove(token)
        }
    }
}

/** Tokens of refused starts. A refusal is final, since the owner may have acted on it. */
internal class RefusedTokens {
    private val refusals = LinkedHashMap<FencingToken, AdmissionRefusal>()

    /** Returns the refusal of [token], or null if it was not refused. */
    fun find(token: FencingToken): AdmissionRefusal? = refusals[token]

    /** Records the refusal of [token]; only the first one counts. */
    fun add(
        token: FencingToken,
        refusal: AdmissionRefusal,
    ) {
        refusals.putIfAbsent(token, refusal)
        if (refusals.size > REFUSALS_MAXIMUM) refusals.remove(refusals.keys.first())
    }

    private companion object {
        /** Refusals kept. A start is permitted for 3 s, and a host gets one start per second at the target load. */
        private const val REFUSALS_MAXIMUM = 1_024
    }
}

internal fun TaskStart.withDeadlines(grant: Grant): WorkerStart =
    WorkerStart(
        taskId = taskId,
        token = token,
        kind = kind,
        limit = limit,
        resumeFrom = resumeFrom,
        input = input,
        startDeadline = grant.startDeadlineWorkerClock ?: Timestamp(Long.MIN_VALUE),
        leaseDeadline = grant.leaseDeadlineWorkerClock,
    )

internal fun WorkerStart.startRequest(epoch: Epoch): StartRequest =
    StartRequest(epoch, taskId, token, limit, startDeadline)

internal fun WorkerReport.workerSnapshot(): WorkerSnapshot =
    WorkerSnapshot(
        clock = clock,
        capacity = capacity,
        attempts =
            attempts.map {
                ReportedAttempt(it.taskId, it.token, it.limit, holdsCapacity = it.state == AttemptState.RUNNING)
            },
    )

/** Returns how the attempt ended, or null while it runs. [stopReason] is used if the attempt was stopped. */
internal fun AttemptReport.endedChange(stopReason: ReleaseReason): TaskChange? =
    when (state) {
        AttemptState.RUNNING -> null
        AttemptState.FINISHED -> TaskChange.Finished(result)
        AttemptState.FAILED -> TaskChange.Stopped(ReleaseReason.FAILED, checkpoint, result)
        AttemptState.LIMIT_EXCEEDED -> TaskChange.Stopped(ReleaseReason.LIMIT_EXCEEDED, checkpoint, result)
        AttemptState.STOPPED -> TaskChange.Stopped(stopReason, checkpoint, result)
        AttemptState.LEASE_ENDED -> TaskChange.Stopped(ReleaseReason.LEASE_ENDED, checkpoint, result)
    }

/** Converts the failure of a start call. Only an explicit refusal proves that the attempt did not start. */
internal fun PlatformError.startAnswer(): StartAnswer =
    when (this) {
        is PlatformError.NoAnswer -> StartAnswer.Lost
        is PlatformError.Refused -> StartAnswer.Refused(AdmissionRefusal(reason.resultCode(), detail))
    }

private fun RefusalReason.resultCode(): ResultCode =
    when (this) {
        RefusalReason.DEADLINE_PASSED, RefusalReason.STALE_TOKEN -> ResultCode.STALE_PERMISSION
        RefusalReason.INVALID -> ResultCode.INVALID_VALUE
        RefusalReason.UNAVAILABLE,
        RefusalReason.STALE_INCARNATION,
        RefusalReason.NO_CAPACITY,
        RefusalReason.NOT_FOUND,
        -> ResultCode.HOST_FULL
    }

private fun AttemptReport.taskReport(): TaskReport =
    TaskReport(
        taskId = taskId,
        token = token,
        kind = kind,
        limit = limit,
        usage = usage,
        usageMeasuredAtWorkerClock = usageMeasuredAt,
        checkpoint = checkpoint,
    )
