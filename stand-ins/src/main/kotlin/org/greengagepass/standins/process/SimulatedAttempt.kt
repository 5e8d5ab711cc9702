/*
 * One attempt of a simulated task. Its progress depends on the processor limit that is enforced on it. A
 * checkpoint's reference carries the progress.
 */
package org.greengagepass.standins.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.AttemptReport
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.WorkerStart

/** An attempt that was started by [start] at [startedAt]. */
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

    /** Kept in thousandths of a millisecond, since a slowed attempt advances by parts of one. */
    private var progressMicros = progressAtStartMillis * WHOLE_PERMILLE
    private val progressMillis get() = progressMicros / WHOLE_PERMILLE
    private var advancedTo = startedAt
    private var permille = WHOLE_PERMILLE
    private var usage = UsageSample(Resources.NONE, startedAt)

    /** Lets the attempt run until [now]. */
    fun advance(now: Timestamp) {
        if (state != AttemptState.RUNNING) return
        val until = if (leaseDeadline < now) leaseDeadline else now
        progressMicros += maxOf(0, until.millisSince(advancedTo)) * work.speedPermille(allowedMilliCores())
        advancedTo = until
        state = stateAt(now)
    }

    /** Takes the usage that later reports show. */
    fun measure(now: Timestamp) {
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

    private fun allowedMilliCores() = start.limit.milliCores * permille / WHOLE_PERMILLE

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
