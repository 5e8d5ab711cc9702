/*
 * Carries out each order of the scheduler in a coroutine of its own and answers it.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.StartResult
import org.greengagepass.core.process.jobs.StopResult
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient

/** What an order depends on while it is carried out. */
internal interface HostState {
    /** True if the executor has said that it leaves. */
    val isLeaving: Boolean

    /** Number of the last look that was begun. */
    val pollNumber: Long

    /** True if the scheduler of [call] still leads and its life of the host lasts. */
    fun isCurrent(call: ExecutorCallContext): Boolean

    /** Sends [message] to the scheduler. */
    fun answer(message: ToScheduler)
}

/** Carries out orders at [host]. */
internal class CommandHandler(
    private val host: ExecutorClient,
    private val scope: CoroutineScope,
    private val metrics: HostMetrics,
    private val state: HostState,
) {
    private val sender = CommandSender(host, state::isCurrent) { state.isLeaving }

    fun start(
        message: FromScheduler.Start,
        epoch: Epoch,
    ) {
        val call = ExecutorCallContext(message.incarnation, epoch, message.leaseUntilHostClock)
        scope.launch {
            val outcome = sender.start(call, message.command)
            metrics.started(outcome)
            if (outcome != null) {
                val result = StartResult(message.incarnation, message.command.run, outcome, state.pollNumber)
                state.answer(ToScheduler.StartAnswered(result))
            }
            if (outcome != StartOutcome.STARTED) logger.info("start of {}: {}", message.command.run, outcome)
        }
    }

    fun stop(
        message: FromScheduler.Stop,
        epoch: Epoch,
    ) {
        val call = ExecutorCallContext(message.incarnation, epoch, leaseUntilHostClock = null)
        scope.launch {
            if (sender.stop(call, message.run)) {
                val result = StopResult(message.incarnation, message.run, state.pollNumber)
                state.answer(ToScheduler.StopAnswered(result))
            }
        }
    }

    fun throttle(
        message: FromScheduler.Throttle,
        epoch: Epoch,
    ) {
        val call = ExecutorCallContext(message.incarnation, epoch, leaseUntilHostClock = null)
        scope.launch {
            host.throttle(call, message.run, message.percent).onLeft { failure ->
                logger.info("pace of {} was not changed: {}", message.run, failure.detail)
            }
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
    }
}
