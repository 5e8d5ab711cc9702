/*
 * Sends commands to the executor. A command without an answer may still take effect later. It is therefore repeated
 * until an answer arrives, and a start counts as refused only once the executor can no longer carry it out. Whether a
 * command is still due is checked before each attempt, and again when the attempt has a connection.
 */
package org.greengagepass.agent.process.jobs

import arrow.core.Either
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure

/**
 * Sends commands to [executor] while [isCurrent] is true, that is while their scheduler is still the leader. Nothing
 * is started once the executor has announced that it is draining, since that is newer than the scheduler's view, nor
 * once the lease of the command [hasExpired], since the scheduler may have placed the task elsewhere. While
 * [mayBeOutdated] is true, a stop of the run may not have been read yet, and starts wait.
 */
internal class CommandSender(
    private val executor: ExecutorClient,
    private val isCurrent: (ExecutorCallContext) -> Boolean,
    private val isDraining: () -> Boolean,
    private val hasExpired: (ExecutorCallContext) -> Boolean = { false },
    private val mayBeOutdated: () -> Boolean = { false },
) {
    /** Stops are not delayed by starts and throttles that the executor leaves unanswered. */
    private val startPermits = Semaphore(STARTS_MAXIMUM)
    private val throttlePermits = Semaphore(THROTTLES_MAXIMUM)

    /**
     * Returns the outcome of [command], or null if its scheduler stops being current before the outcome is known, or if
     * [isDue] becomes false.
     */
    suspend fun start(
        context: ExecutorCallContext,
        command: StartCommand,
        isDue: () -> Boolean = { true },
    ): StartOutcome? {
        val startContext = context.copy(isDue = { mayStart(context) && isDue() })
        var mayHaveStarted = false
        var outcome: StartOutcome? = null
        while (outcome == null && isCurrent(context) && isDue()) {
            outcome =
                when {
                    isDraining() -> confirm(context, command.run, StartOutcome.UNAVAILABLE, mayHaveStarted)
                    hasExpired(context) -> confirm(context, command.run, StartOutcome.LATE, mayHaveStarted)
                    mayBeOutdated() -> {
                        delay(RETRY_MILLIS)
                        null
                    }
                    else ->
                        startWhenPermitted(startContext, command)?.fold(
                            { failure ->
                                mayHaveStarted = mayHaveStarted || failure is ExecutorFailure.NoAnswer
                                log(context, command, failure)
                                // Whether the run was there at a crash is decided by the report of the crash.
                                if (failure is ExecutorFailure.IncarnationMismatch && mayHaveStarted) return null
                                afterFailure(failure)
                            },
                            { answered -> confirm(context, command.run, answered, mayHaveStarted) },
                        )
                }
        }
        return outcome
    }

    private fun mayStart(context: ExecutorCallContext): Boolean =
        isCurrent(context) && !isDraining() && !hasExpired(context) && !mayBeOutdated()

    /** Sends the start once few enough others are unanswered. Returns null if it is not due any more. */
    private suspend fun startWhenPermitted(
        context: ExecutorCallContext,
        command: StartCommand,
    ): Either<ExecutorFailure, StartOutcome>? =
        startPermits.withPermit { if (context.isDue()) executor.start(context, command) else null }

    /** Returns true once [run] can no longer start, or false if its scheduler stops being current before that. */
    suspend fun stop(
        context: ExecutorCallContext,
        run: TaskRun,
    ): Boolean {
        val stopContext = context.copy(isDue = { isCurrent(context) })
        var isStopped = false
        while (!isStopped && isCurrent(context)) {
            val failure = executor.stop(stopContext, run).leftOrNull()
            isStopped = failure == null || failure is ExecutorFailure.IncarnationMismatch
            if (!isStopped) {
                logger.info("stop of {} on {} failed: {}", run, context.incarnation, failure)
                delay(RETRY_MILLIS)
            }
        }
        return isStopped
    }

    /** Throttles [run] once, unless [isDue] becomes false before the call is sent. */
    suspend fun throttle(
        context: ExecutorCallContext,
        run: TaskRun,
        percent: Int,
        isDue: () -> Boolean,
    ): Either<ExecutorFailure, Unit> {
        val throttleContext = context.copy(isDue = { isCurrent(context) && isDue() })
        return throttlePermits.withPermit { executor.throttle(throttleContext, run, percent) }
    }

    private fun log(
        context: ExecutorCallContext,
        command: StartCommand,
        failure: ExecutorFailure,
    ) = logger.info(
        "start of {} on {} in epoch {}, lease until {}, failed: {}",
        command.run,
        context.incarnation,
        context.epoch.value,
        context.leaseUntilHostClock,
        failure,
    )

    private suspend fun afterFailure(failure: ExecutorFailure): StartOutcome? {
        if (failure is ExecutorFailure.IncarnationMismatch) return StartOutcome.UNAVAILABLE
        delay(RETRY_MILLIS)
        return null
    }

    /** Makes [outcome] final: an earlier unanswered start may take effect after a refusal, and a stop prevents that. */
    private suspend fun confirm(
        context: ExecutorCallContext,
        run: TaskRun,
        outcome: StartOutcome,
        mayHaveStarted: Boolean,
    ): StartOutcome? {
        val isFinal = outcome == StartOutcome.STARTED || outcome == StartOutcome.SUPERSEDED || !mayHaveStarted
        return when {
            isFinal -> outcome
            stop(context, run) -> StartOutcome.SUPERSEDED
            else -> null
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
        private const val RETRY_MILLIS = 100L

        /** Two thirds of the commands that the executor is sent at a time. */
        private const val STARTS_MAXIMUM = 16

        /** Leaves a third of the commands to stops while no starts are in progress. */
        private const val THROTTLES_MAXIMUM = 16
    }
}
