/*
 * Runs each command of the scheduler in its own coroutine and sends the result back.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.StartResult
import org.greengagepass.core.process.jobs.StopResult
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient

/** State of the agent that a command depends on while it runs. */
internal interface CommandContext {
    /** True if the executor has announced that it takes no new work. */
    val isDraining: Boolean

    /** Number of the most recently started poll. */
    val pollNumber: Long

    /** The lease of the present connection to the leader, or null. Each connection has a lease of its own. */
    val lease: GrantedLease?

    /** True while the epoch and the incarnation in [callContext] are those of the current lease. */
    fun isCurrent(callContext: ExecutorCallContext): Boolean

    /** True if the lease in [callContext] has certainly expired. */
    fun hasExpired(callContext: ExecutorCallContext): Boolean

    /** True if messages of the scheduler may wait to be read, such as the stop of a run. */
    val mayBeOutdated: Boolean

    /** Sends [message] to the scheduler. */
    fun send(message: ToScheduler)
}

/** Runs the commands of the scheduler on [executor]. The [clock] is monotonic, in milliseconds. */
internal class CommandHandler(
    executor: ExecutorClient,
    private val scope: CoroutineScope,
    private val metrics: HostMetrics,
    private val context: CommandContext,
    private val clock: () -> Long,
) {
    private val sender =
        CommandSender(
            executor = executor,
            isCurrent = context::isCurrent,
            isDraining = { context.isDraining },
            hasExpired = context::hasExpired,
            mayBeOutdated = { context.mayBeOutdated },
        )

    /** Runs for which a stop was requested while a start command is in progress, until that has ended. */
    private val withdrawn = HashSet<TaskRun>()

    /** Numbers of start commands in progress by run. */
    private val starting = HashMap<TaskRun, Int>()

    /** The latest throttle of each run, until it has ended. */
    private val throttles = HashMap<TaskRun, FromScheduler.Throttle>()

    fun start(
        message: FromScheduler.Start,
        epoch: Epoch,
    ) {
        val callContext = ExecutorCallContext(message.incarnation, epoch, message.leaseUntilHostClock)
        val run = message.command.run
        // Over a later connection the scheduler decides anew, and it may have stopped the run without a connection.
        val lease = context.lease
        val receivedAt = clock()
        starting.merge(run, 1, Int::plus)
        scope.launch {
            val outcome = sender.start(callContext, message.command) { run !in withdrawn && context.lease === lease }
            val isWithdrawn = outcome == null && run in withdrawn
            if (starting.merge(run, -1, Int::plus) == 0) {
                starting.remove(run)
                withdrawn.remove(run)
            }
            metrics.recordStart(outcome, isWithdrawn)
            if (outcome != null) {
                val result = StartResult(message.incarnation, message.command.run, outcome, context.pollNumber)
                context.send(ToScheduler.StartAnswered(result))
            }
            val ageMillis = clock() - receivedAt
            if (outcome != StartOutcome.STARTED || ageMillis > SLOW_START_MILLIS) {
                logger.info(
                    "start of {}: {}, {} ms after its command, withdrawn: {}",
                    run,
                    outcome,
                    ageMillis,
                    isWithdrawn,
                )
            }
        }
    }

    fun stop(
        message: FromScheduler.Stop,
        epoch: Epoch,
    ) {
        val callContext = ExecutorCallContext(message.incarnation, epoch, leaseUntilHostClock = null)
        if (message.run in starting) withdrawn += message.run
        scope.launch {
            if (sender.stop(callContext, message.run)) {
                val result = StopResult(message.incarnation, message.run, context.pollNumber)
                context.send(ToScheduler.StopAnswered(result))
            }
        }
    }

    fun throttle(
        message: FromScheduler.Throttle,
        epoch: Epoch,
    ) {
        val callContext = ExecutorCallContext(message.incarnation, epoch, leaseUntilHostClock = null)
        throttles[message.run] = message
        scope.launch {
            val isLatest = { throttles[message.run] === message }
            sender.throttle(callContext, message.run, message.percent, isLatest).onLeft { failure ->
                logger.info("throttle of {} failed: {}", message.run, failure.detail)
            }
            if (isLatest()) throttles.remove(message.run)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")

        /** Two time-outs of a command; a start that is answered later was repeated or has waited. */
        private const val SLOW_START_MILLIS = 1_000L
    }
}
