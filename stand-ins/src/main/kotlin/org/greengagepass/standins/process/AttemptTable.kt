/*
 * The attempts on a worker stand-in. An attempt starts only if its token is higher than all earlier tokens of its
 * task, its start deadline has not passed, and its limit fits in the free capacity. It ends when its lease expires.
 */
package org.greengagepass.standins.process

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.RefusalBody
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.WorkerReport
import org.greengagepass.services.process.WorkerStart

/** Attempts on the worker named [worker]. Not thread-safe. */
internal class AttemptTable(
    private val worker: String,
    private val capacity: Resources,
    private val usageLagMillis: Long,
) {
    private val attempts = sortedMapOf<Long, SimulatedAttempt>()
    private val highestTokens = mutableMapOf<TaskId, FencingToken>()
    private val history = EventList(worker)
    private var usageSampledAt: Timestamp? = null
    private var mostInUse = Resources.NONE

    /** Advances all attempts to [now]. */
    fun advance(now: Timestamp) {
        attempts.values.forEach { attempt ->
            val before = attempt.state
            attempt.advance(now)
            if (attempt.state != before) history.record(attempt)
        }
        if (usageSampledAt?.let { now.millisSince(it) < usageLagMillis } != true) {
            attempts.values.forEach { it.sampleUsage(now) }
            usageSampledAt = now
        }
    }

    /** Returns the attempt with [token], or null if it does not run. */
    fun running(token: FencingToken): SimulatedAttempt? = find(token)?.takeIf { it.state == AttemptState.RUNNING }

    /** Returns the attempt with [token] in any state, or null. */
    fun find(token: FencingToken): SimulatedAttempt? = attempts[token.value]

    /** Starts an attempt that does [work], after stopping earlier attempts of the task: their tokens are outdated. */
    fun start(
        start: WorkerStart,
        work: SimulatedWork,
        now: Timestamp,
    ): Either<RefusalBody, Unit> =
        either {
            ensure(start.token > (highestTokens[start.taskId] ?: FencingToken.NONE)) {
                RefusalBody(RefusalReason.STALE_TOKEN, "token ${start.token.value} is not higher than all earlier ones")
            }
            ensure(now < start.startDeadline && now < start.leaseDeadline) {
                RefusalBody(RefusalReason.DEADLINE_PASSED, "the start deadline or the lease deadline has passed")
            }
            attempts.values.filter { it.start.taskId == start.taskId }.forEach(::stop)
            ensure((inUse() + start.limit).fitsIn(capacity)) {
                RefusalBody(RefusalReason.NO_CAPACITY, "the limit does not fit in the free capacity")
            }
            add(SimulatedAttempt(start, work, worker, now))
        }

    /** Stops [attempt] if it is running. */
    fun stop(attempt: SimulatedAttempt) {
        if (attempt.state == AttemptState.RUNNING) {
            attempt.stop()
            history.record(attempt)
        }
    }

    /** Removes the ended attempts among [tokens]. Keeps the highest token of each task, to refuse late starts. */
    fun forget(tokens: List<FencingToken>) {
        tokens.filter { running(it) == null }.forEach { attempts.remove(it.value) }
    }

    /** Reports all attempts at [now]. */
    fun report(now: Timestamp): WorkerReport = WorkerReport(now, capacity, attempts.values.map { it.report() })

    /** Returns the history from [sequence] on. */
    fun history(sequence: Long): HistoryPage = HistoryPage(history.from(sequence), capacity, mostInUse)

    private fun add(attempt: SimulatedAttempt) {
        highestTokens[attempt.start.taskId] = attempt.token
        attempts[attempt.token.value] = attempt
        mostInUse = mostInUse.maximumWith(inUse())
        history.record(attempt)
    }

    private fun inUse(): Resources =
        attempts.values
            .filter { it.state == AttemptState.RUNNING }
            .fold(Resources.NONE) { sum, attempt -> sum + attempt.start.limit }
}

private fun Resources.maximumWith(other: Resources): Resources =
    Resources(
        milliCores = maxOf(milliCores, other.milliCores),
        memoryMegabytes = maxOf(memoryMegabytes, other.memoryMegabytes),
        accelerators = maxOf(accelerators, other.accelerators),
    )
