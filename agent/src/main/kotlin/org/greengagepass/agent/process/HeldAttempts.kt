/*
 * What the agent knows of the attempts that the worker holds, and conversions between the worker's terms, those of
 * the protocol and those of the core.
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

/** Attempts by token, as last reported or started since. */
internal class HeldAttempts {
    private val held = LinkedHashMap<FencingToken, TaskReport>()
    private val startedSinceReport = LinkedHashMap<FencingToken, Timestamp>()
    private var newestClock = Timestamp(Long.MIN_VALUE)

    /** All attempts that the worker holds. */
    val reports: List<TaskReport> get() = held.values.toList()

    operator fun contains(token: FencingToken): Boolean = token in held

    /** Replaces what is known by [report]. An attempt just started may be missing from it until its deadline. */
    fun update(report: WorkerReport) {
        val listed = report.attempts.associate { it.token to it.taskReport() }
        startedSinceReport.entries.removeIf { (token, deadline) -> token in listed || report.clock > deadline }
        held.keys.removeIf { it !in listed && it !in startedSinceReport }
        held.putAll(listed)
        newestClock = report.clock
    }

    /** The worker took [start]. */
    fun add(start: WorkerStart) {
        if (start.token in held) return
        startedSinceReport[start.token] = start.startDeadline
        held[start.token] =
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

    /** Notes [checkpoint], and gives the attempt if it is held. */
    fun checkpointed(
        token: FencingToken,
        checkpoint: Checkpoint,
    ): TaskReport? = held.computeIfPresent(token) { _, report -> report.copy(checkpoint = checkpoint) }

    /** Drops [tokens]. */
    fun forget(tokens: List<FencingToken>) {
        tokens.forEach { token ->
            held.remove(token)
            startedSinceReport.remove(token)
        }
    }
}

/** Tokens of starts that were refused here. A refusal is final, since the owner may have acted on it. */
internal class RefusedTokens {
    private val refusals = LinkedHashMap<FencingToken, AdmissionRefusal>()

    /** The refusal of [token], if there was one. */
    fun find(token: FencingToken): AdmissionRefusal? = refusals[token]

    /** Remembers that [token] was refused; the first refusal counts. */
    fun add(
        token: FencingToken,
        refusal: AdmissionRefusal,
    ) {
        refusals.putIfAbsent(token, refusal)
        if (refusals.size > REFUSALS_MAXIMUM) refusals.remove(refusals.keys.first())
    }

    private companion object {
        /** Refusals remembered. A start is permitted for 3 s, and a host is sent one start a second at the target. */
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

internal fun WorkerStart.request(epoch: Epoch): StartRequest = StartRequest(epoch, taskId, token, limit, startDeadline)

internal fun WorkerReport.forAdmission(): WorkerSnapshot =
    WorkerSnapshot(
        clock = clock,
        capacity = capacity,
        attempts =
            attempts.map {
                ReportedAttempt(it.taskId, it.token, it.limit, holdsCapacity = it.state == AttemptState.RUNNING)
            },
    )

/** How the attempt ended; null if it runs. [stopReason] says why it was stopped, if it was. */
internal fun AttemptReport.endedChange(stopReason: ReleaseReason): TaskChange? =
    when (state) {
        AttemptState.RUNNING -> null
        AttemptState.FINISHED -> TaskChange.Finished(result)
        AttemptState.FAILED -> TaskChange.Stopped(ReleaseReason.FAILED, checkpoint, result)
        AttemptState.LIMIT_EXCEEDED -> TaskChange.Stopped(ReleaseReason.LIMIT_EXCEEDED, checkpoint, result)
        AttemptState.STOPPED -> TaskChange.Stopped(stopReason, checkpoint, result)
        AttemptState.LEASE_ENDED -> TaskChange.Stopped(ReleaseReason.LEASE_ENDED, checkpoint, result)
    }

/** What a failed call says about a start. Only a stated refusal proves that it did not take place. */
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
