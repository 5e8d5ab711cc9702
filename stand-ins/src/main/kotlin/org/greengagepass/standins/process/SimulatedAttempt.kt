/*
 * One attempt of a simulated task. Its speed depends on its processor limit and throttle. The reference of a checkpoint
 * contains the progress.
 */
package org.greengagepass.standins.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.AttemptReport
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.WorkerStart

/** An attempt started by [start] at [startedAt]. */
internal class SimulatedAttempt(
    val start: WorkerStart,
    private val work: SimulatedWork,
    private val worker: String,
    startedAt: Timestamp,
) {
    val token: FencingToken get() = start.token
    var state = AttemptState.RUNNING
        private set
    var leaseDeadline = start.leaseDeadline
        private set
    var checkpoint = start.resumeFrom
        private set
    private val progressAtStartMillis = progressOf(start.resumeFrom)

    /** In microseconds, since a throttled attempt advances by fractions of a millisecond. */
    private var progressMicros = progressAtStartMillis * FULL_LIMIT_PERMILLE
    private val progressMillis get() = progressMicros / FULL_LIMIT_PERMILLE
    private var advancedTo = startedAt
    private var permille = FULL_LIMIT_PERMILLE
    private var usage = UsageSample(Resources.NONE, startedAt)

    /** Advances the attempt to [now]. */
    fun advance(now: Timestamp) {
        if (state != AttemptState.RUNNING) return
        val end = if (leaseDeadline < now) leaseDeadline else now
        progressMicros += maxOf(0, end.millisSince(advancedTo)) * work.speedPermille(allowedMilliCores())
        advancedTo = end
        state = stateAt(now)
    }

    /** Samples the usage that later reports contain. */
    fun sampleUsage(now: Timestamp) {
        val running = state == AttemptState.RUNNING
        usage = UsageSample(if (running) work.usage(start.limit, allowedMilliCores()) else Resources.NONE, now)
    }

    fun renew(deadline: Timestamp) {
        leaseDeadline = maxOf(leaseDeadline, deadline)
    }

    fun throttle(permille: Int) {
        this.permille = permille
    }

    fun takeCheckpoint(): Checkpoint {
        checkpoint = Checkpoint(checkpoint.number + 1, "$worker/${token.value}/$progressMillis")
        return checkpoint
    }

    fun stop() {
        if (state == AttemptState.RUNNING) state = AttemptState.STOPPED
    }

    fun report(): AttemptReport =
        AttemptReport(
            taskId = start.taskId,
            token = token,
            kind = start.kind,
            limit = start.limit,
            state = state,
            checkpoint = checkpoint,
            usage = usage.usage,
            usageMeasuredAt = usage.measuredAt,
            leaseDeadline = leaseDeadline,
            result = result(),
        )

    private fun stateAt(now: Timestamp): AttemptState =
        when {
            work.exceeds(start.limit, progressMillis - progressAtStartMillis) -> AttemptState.LIMIT_EXCEEDED
            work.isComplete(progressMillis) -> if (work.fails) AttemptState.FAILED else AttemptState.FINISHED
            leaseDeadline <= now -> AttemptState.LEASE_ENDED
            else -> AttemptState.RUNNING
        }

    private fun allowedMilliCores() = start.limit.milliCores * permille / FULL_LIMIT_PERMILLE

    private fun result(): String =
        when (state) {
            AttemptState.FINISHED -> "ran $progressMillis ms"
            AttemptState.FAILED -> "the simulated task failed"
            AttemptState.LIMIT_EXCEEDED -> "needs ${work.memoryMegabytes} MB"
            else -> ""
        }

    private companion object {
        private fun progressOf(checkpoint: Checkpoint): Long =
            checkpoint.reference.substringAfterLast('/').toLongOrNull() ?: 0
    }
}

private class UsageSample(
    val usage: Resources,
    val measuredAt: Timestamp,
)
