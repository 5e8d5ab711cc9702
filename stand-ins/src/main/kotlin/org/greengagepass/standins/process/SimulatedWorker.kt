/*
 * The worker stand-in. It accepts calls of the newest incarnation of the agent only. The caller passes the time, as a
 * reading of the worker's own clock.
 */
package org.greengagepass.standins.process

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import arrow.core.right
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.RefusalBody
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.RenewBody
import org.greengagepass.services.process.ThrottleBody
import org.greengagepass.services.process.WorkerReport
import org.greengagepass.services.process.WorkerStart

/** A worker named [name] with [capacity]. Usage in reports is up to [usageLagMillis] old. */
public class SimulatedWorker(
    name: String,
    capacity: Resources,
    usageLagMillis: Long,
) {
    private val table = AttemptTable(name, capacity, usageLagMillis)
    private val guard = IncarnationGuard()

    /** If true, every attempt that starts fails at once. */
    @Volatile
    public var failsAll: Boolean = false

    /** Advances all attempts to [now]. */
    @Synchronized
    public fun advance(now: Timestamp): Unit = table.advance(now)

    /** Makes [caller] the only incarnation whose calls are accepted. */
    @Synchronized
    public fun attach(
        caller: Incarnation,
        now: Timestamp,
    ): Either<RefusalBody, WorkerReport> {
        table.advance(now)
        return guard.attach(caller).map { table.report(now) }
    }

    /** Reports all attempts. */
    @Synchronized
    public fun report(
        caller: Incarnation,
        now: Timestamp,
    ): Either<RefusalBody, WorkerReport> {
        table.advance(now)
        return guard.check(caller) { table.report(now).right() }
    }

    /** Starts an attempt. Starting a running attempt again has no effect. */
    @Synchronized
    public fun start(
        caller: Incarnation,
        start: WorkerStart,
        now: Timestamp,
    ): Either<RefusalBody, Unit> {
        table.advance(now)
        return guard.check(caller) {
            if (table.running(start.token) != null) {
                Unit.right()
            } else {
                workOf(start, failsAll).flatMap { table.start(start, it, now) }
            }
        }
    }

    /** Extends leases. Ignores the tokens of attempts that do not run. */
    @Synchronized
    public fun renew(
        body: RenewBody,
        now: Timestamp,
    ): Either<RefusalBody, Unit> {
        table.advance(now)
        return guard.check(body.incarnation) {
            body.tokens.mapNotNull { table.running(it) }.forEach { it.renew(body.leaseDeadline) }
            Unit.right()
        }
    }

    /** Throttles an attempt. */
    @Synchronized
    public fun throttle(
        body: ThrottleBody,
        now: Timestamp,
    ): Either<RefusalBody, Unit> {
        table.advance(now)
        return guard.check(body.incarnation) {
            either {
                ensure(body.permille in 0..FULL_LIMIT_PERMILLE) {
                    RefusalBody(RefusalReason.INVALID, "permille ${body.permille} is out of range")
                }
                ensureNotNull(table.running(body.token)) { notRunning(body.token) }.throttle(body.permille)
            }
        }
    }

    /** Takes a checkpoint of a running attempt. */
    @Synchronized
    public fun checkpoint(
        caller: Incarnation,
        token: FencingToken,
        now: Timestamp,
    ): Either<RefusalBody, Checkpoint> {
        table.advance(now)
        return guard.check(caller) { table.running(token)?.takeCheckpoint()?.right() ?: notRunning(token).left() }
    }

    /** Stops an attempt. Stopping an ended attempt has no effect. */
    @Synchronized
    public fun stop(
        caller: Incarnation,
        token: FencingToken,
        now: Timestamp,
    ): Either<RefusalBody, Unit> {
        table.advance(now)
        return guard.check(caller) {
            either { table.stop(ensureNotNull(table.find(token)) { notRunning(token) }) }
        }
    }

    /** Removes ended attempts from later reports. */
    @Synchronized
    public fun forget(
        caller: Incarnation,
        tokens: List<FencingToken>,
        now: Timestamp,
    ): Either<RefusalBody, Unit> {
        table.advance(now)
        return guard.check(caller) { table.forget(tokens).right() }
    }

    /** Returns the history from [sequence] on. */
    @Synchronized
    public fun history(sequence: Long): HistoryPage = table.history(sequence)
}

/** Accepts calls of the newest incarnation only. */
private class IncarnationGuard {
    private var newest: Incarnation? = null

    fun attach(caller: Incarnation): Either<RefusalBody, Unit> =
        if (newest.let { it == null || caller >= it }) {
            newest = caller
            Unit.right()
        } else {
            stale(caller).left()
        }

    fun <T> check(
        caller: Incarnation,
        action: () -> Either<RefusalBody, T>,
    ): Either<RefusalBody, T> = if (caller == newest) action() else stale(caller).left()

    private fun stale(caller: Incarnation) =
        RefusalBody(RefusalReason.STALE_INCARNATION, "incarnation ${caller.value}, but attached is ${newest?.value}")
}

private fun workOf(
    start: WorkerStart,
    fails: Boolean,
): Either<RefusalBody, SimulatedWork> {
    val work = SimulatedWork.parse(start.input)
    return when {
        work == null -> RefusalBody(RefusalReason.INVALID, "the input does not describe a simulated task").left()
        fails -> work.copy(runMillis = 0, fails = true, standing = false).right()
        else -> work.right()
    }
}

private fun notRunning(token: FencingToken) =
    RefusalBody(RefusalReason.NOT_FOUND, "no running attempt has token ${token.value}")
