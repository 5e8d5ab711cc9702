/*
 * Carries out orders at the executor. An order without an answer may still be carried out later, so it is repeated
 * until an answer comes, and a start counts as refused only once the executor can't carry it out any more.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure

/**
 * Gives orders to [host] as long as [isCurrent] says that the scheduler who gave them still leads. Nothing is started
 * once the executor says that it leaves, since its own word is newer than the scheduler's view.
 */
internal class CommandSender(
    private val host: ExecutorClient,
    private val isCurrent: (ExecutorCallContext) -> Boolean,
    private val isLeaving: () -> Boolean,
) {
    /** What became of [command]; null if its scheduler was lost before that is known. */
    suspend fun start(
        call: ExecutorCallContext,
        command: StartCommand,
    ): StartOutcome? {
        var isUncertain = false
        var outcome: StartOutcome? = null
        while (outcome == null && isCurrent(call)) {
            outcome =
                if (isLeaving()) {
                    settle(call, command.run, StartOutcome.UNAVAILABLE, isUncertain)
                } else {
                    host.start(call, command).fold(
                        { failure ->
                            isUncertain = isUncertain || failure is ExecutorFailure.NoAnswer
                            afterFailure(command, failure)
                        },
                        { answered -> settle(call, command.run, answered, isUncertain) },
                    )
                }
        }
        return outcome
    }

    /** True once [run] can't start any more; false if the scheduler was lost before. */
    suspend fun stop(
        call: ExecutorCallContext,
        run: TaskRun,
    ): Boolean {
        var isStopped = false
        while (!isStopped && isCurrent(call)) {
            val failure = host.stop(call, run).leftOrNull()
            isStopped = failure == null || failure is ExecutorFailure.IncarnationMismatch
            if (!isStopped) {
                logger.info("stop of {} failed: {}", run, failure?.detail)
                delay(REPEAT_MILLIS)
            }
        }
        return isStopped
    }

    private suspend fun afterFailure(
        command: StartCommand,
        failure: ExecutorFailure,
    ): StartOutcome? =
        if (failure is ExecutorFailure.IncarnationMismatch) {
            StartOutcome.UNAVAILABLE
        } else {
            logger.info("start of {} failed: {}", command.run, failure.detail)
            delay(REPEAT_MILLIS)
            null
        }

    /** An earlier order without an answer could still start the run after a refusal; a stop rules that out. */
    private suspend fun settle(
        call: ExecutorCallContext,
        run: TaskRun,
        outcome: StartOutcome,
        isUncertain: Boolean,
    ): StartOutcome? {
        val isCertain = outcome == StartOutcome.STARTED || outcome == StartOutcome.SUPERSEDED || !isUncertain
        return when {
            isCertain -> outcome
            stop(call, run) -> StartOutcome.SUPERSEDED
            else -> null
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
        private const val REPEAT_MILLIS = 100L
    }
}
