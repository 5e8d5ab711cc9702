/*
 * The attempts that a worker stand-in holds. An attempt starts only with a token above all seen for its task and
 * before the start's deadline, the limits of what runs never exceed the capacity, and an attempt ends when its
 * lease passes.
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

/** Attempts on the worker called [worker]. Not safe for use by several threads. */
internal class AttemptTable(
    private val worker: String,
    private val capacity: Resources,
    private val usageLagMillis: Long,
) {
    private val attempts = sortedMapOf<Long, SimulatedAttempt>()
    private val highestTokens = mutableMapOf<TaskId, FencingToken>()
    private val history = EventList(worker)
    private var measuredAt: Timestamp? = null
    private var mostInUse = Resources.NONE

    /** Lets all attempts run until [now]. */
    fun advance(now: Timestamp) {
        attempts.values.forEach { attempt ->
            val before = attempt.state
            attempt.advance(now)
            if (attempt.state != before) history.record(attempt)
        }
        if (measuredAt?.let { now.millisSince(it) < usageLagMillis } != true) {
            attempts.values.forEach { it.measure(now) }
            measuredAt = now
        }
    }

    /** The attempt with [token], if it runs. */
    fun running(token: FencingToken): SimulatedAttempt? = find(token)?.takeIf { it.state == AttemptState.RUNNING }

    /** The attempt with [token], in whatever state. */
    fun find(token: FencingToken): SimulatedAttempt? = attempts[token.value]

    /** Starts an attempt that does [work]. An older attempt of the task is stopped first: its token is outdated. */
    fun start(
        start: WorkerStart,
        work: SimulatedWork,
        now: Timestamp,
    ): Either<RefusalBody, Unit> =
        either {
            ensure(start.token > (highestTokens[start.taskId] ?: FencingToken.NONE)) {
                RefusalBody(RefusalReason.STALE_TOKEN, "token ${start.token.value} is not above those seen")
            }
            ensure(now < start.startDeadline && now < start.leaseDeadline) {
                RefusalBody(RefusalReason.DEADLINE_PASSED, "the start came after its deadline")
            }
            attempts.values.filter { it.start.taskId == start.taskId }.forEach(::end)
            ensure((inUse() + start.limit).fitsIn(capacity)) {
                RefusalBody(RefusalReason.NO_CAPACITY, "the limit does not fit in what is free")
            }
            begin(SimulatedAttempt(start, work, worker, now))
        }

    /** Stops [attempt] if it runs. */
    fun end(attempt: SimulatedAttempt) {
        if (attempt.state == AttemptState.RUNNING) {
            attempt.stop()
            history.record(attempt)
        }
    }

    /** Drops the ended attempts among [tokens]. The highest token of a task stays known, against late starts. */
    fun forget(tokens: List<FencingToken>) {
        tokens.filter { running(it) == null }.forEach { attempts.remove(it.value) }
    }

    /** What is held at [now]. */
    fun report(now: Timestamp): WorkerReport = WorkerReport(now, capacity, attempts.values.map { it.report() })

    /** History from [sequence] on. */
    fun history(sequence: Long): HistoryPage = HistoryPage(history.from(sequence), capacity, mostInUse)

    private fun begin(attempt: SimulatedAttempt) {
        highestTokens[attempt.start.taskId] = attempt.token
        attempts[attempt.token.value] = attempt
        mostInUse = mostInUse.coerceAtLeast(inUse())
        history.record(attempt)
    }

    private fun inUse(): Resources =
        attempts.values
            .filter { it.state == AttemptState.RUNNING }
            .fold(Resources.NONE) { sum, attempt -> sum + attempt.start.limit }
}

private fun Resources.coerceAtLeast(other: Resources): Resources =
    Resources(
        milliCores = maxOf(milliCores, other.milliCores),
        memoryMegabytes = maxOf(memoryMegabytes, other.memoryMegabytes),
        accelerators = maxOf(accelerators, other.accelerators),
    )
