/*
 * The agent of one host on the platform. It follows the leader, sends the leader's commands to the executor, and
 * reports what the executor holds. It keeps no state that a restarted agent could not obtain again. Confined to the
 * agent's dispatcher.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.SchedulerConnectionListener
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.IncarnationProbe
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.runRestarting

/** The collaborators that a [HostSupervisor] gets from its process. */
internal class HostContext(
    val scope: CoroutineScope,
    val metrics: HostMetrics,
    /** Monotonic time in milliseconds. It goes on while the process is suspended. */
    val clock: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
)

private const val NANOS_PER_MILLI = 1_000_000

/** Connects [executor] to the leader. */
internal class HostSupervisor(
    executorClient: ExecutorClient,
    probe: IncarnationProbe,
    private val directory: LeaderDirectory,
    private val seedAddresses: List<String>,
    context: HostContext,
) : SchedulerConnectionListener {
    private val scope = context.scope
    private val metrics = context.metrics
    private val clock = context.clock
    private val executor = CrashObserver(executorClient, clock)
    private val executorClock = ExecutorClock(clock)
    private val contact = LeaderContact(clock)
    private val poller =
        ExecutorPoller(
            executor = executor,
            onFailure = ::onPollFailed,
            sendReport = {
                registration.onReport(it.incarnation)
                executorClock.update(it.incarnation, it.clockMillis)
                connection?.sendOrClose(ToScheduler.Report(it))
            },
        )

    /** Receives the heartbeats of the executor. */
    val registration: ExecutorRegistration =
        ExecutorRegistration(
            probe = probe,
            scope = scope,
            epoch = { maxOf(highestEpoch, directory.newest?.epoch ?: Epoch.NONE) },
            onDescribed = ::onDescribed,
        )
    private val commandHandler =
        CommandHandler(
            executor = executor,
            scope = scope,
            metrics = metrics,
            clock = clock,
            context =
                object : CommandContext {
                    override val isDraining: Boolean get() = description?.isDraining ?: true
                    override val pollNumber: Long get() = poller.pollNumber
                    override val mayBeOutdated: Boolean get() = !contact.isCurrent
                    override val lease: GrantedLease? get() = this@HostSupervisor.lease

                    override fun isCurrent(callContext: ExecutorCallContext) =
                        lease?.let { it.incarnation == callContext.incarnation && it.epoch == callContext.epoch }
                            ?: false

                    override fun hasExpired(callContext: ExecutorCallContext) =
                        callContext.leaseUntilHostClock?.let { executorClock.hasPassed(callContext.incarnation, it) }
                            ?: false

                    override fun send(message: ToScheduler) {
                        connection?.sendOrClose(message)
                    }
                },
        )
    private var description: HostDescription? = null
    private var connection: FramedConnection<ToScheduler, FromScheduler>? = null
    private var lease: GrantedLease? = null
    private var polling: Job? = null

    /** The incarnation that has deregistered and may still be at work, or null. */
    private var leaving: HostIncarnation? = null
    private var highestEpoch = Epoch.NONE

    private fun onDescribed(announcement: HostDescription) {
        val previous = description
        val isNewIncarnation = previous != null && previous.incarnation != announcement.incarnation
        if (previous != null && isNewIncarnation && executor.replaced(previous)) metrics.recordCrash()
        if (isNewIncarnation) leaving = null
        val announced = announcement.copy(crashes = executor.crashes)
        if (previous == announced) return
        description = announced
        if (previous == null || isNewIncarnation || previous.isDraining != announced.isDraining) {
            logger.info(
                "host {} in pool {}, draining: {}",
                announced.incarnation,
                announced.pool.value,
                announced.isDraining,
            )
        }
        connection?.sendOrClose(ToScheduler.HostDescribed(announced))
        if (lease?.incarnation != announced.incarnation) connection?.let { follow(highestEpoch) }
    }

    /**
     * Handles the announcement that [name] has deregistered. It works on for some seconds if the response to that is
     * lost, so it counts as gone only once it no longer listens.
     */
    fun onDeregistered(
        name: ExecutorName,
        startedAtEpochMillis: Long?,
    ) {
        val incarnation = registration.deregistered(name, startedAtEpochMillis)
        if (incarnation == null) {
            logger.info("ignoring a deregistration of {}, which does not drain or has another start", name.value)
        } else {
            logger.info("the executor of host {} has deregistered", incarnation)
            leaving = incarnation
        }
    }

    private fun onPollFailed(
        incarnation: HostIncarnation,
        failure: ExecutorFailure,
    ) {
        when {
            incarnation != leaving -> connection?.sendOrClose(ToScheduler.ExecutorSilent(incarnation))
            failure is ExecutorFailure.NotListening || failure is ExecutorFailure.IncarnationMismatch -> {
                logger.info("the executor of host {} has ended: {}", incarnation, failure.detail)
                connection?.sendOrClose(ToScheduler.HostGone(incarnation))
                executor.reset()
                registration.clear()
                description = null
                lease = null
                leaving = null
            }
        }
    }

    override fun addresses(): List<String> = listOfNotNull(directory.newest?.address) + seedAddresses

    override fun hello(): ToScheduler? = description?.let { ToScheduler.HostHello(PROTOCOL_VERSION, it) }

    override fun onConnected(
        epoch: Epoch,
        address: String,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    ) {
        if (epoch < highestEpoch) {
            logger.info("closing the connection to {}: its epoch has been superseded", connection.remoteAddress)
            connection.close()
            return
        }
        logger.info("following the leader of epoch {} at {}", epoch.value, address)
        contact.onConnected()
        highestEpoch = epoch
        directory.connected(epoch, address)
        this.connection = connection
        description?.let { connection.sendOrClose(ToScheduler.HostDescribed(it)) }
        follow(epoch)
    }

    override fun onMessage(message: FromScheduler) {
        contact.onMessage()
        when (message) {
            is FromScheduler.Grant -> {
                val matchingLease = lease?.takeIf { it.incarnation == message.incarnation }
                matchingLease?.leaseUntilHostClock = message.leaseUntilHostClock
                poller.onReply()
            }
            is FromScheduler.AcknowledgeEnds -> {
                val matchingLease = lease?.takeIf { it.incarnation == message.incarnation }
                matchingLease?.acknowledgedEnds = message.through
                poller.onReply()
            }
            is FromScheduler.Start -> commandHandler.start(message, highestEpoch)
            is FromScheduler.Stop -> commandHandler.stop(message, highestEpoch)
            is FromScheduler.Throttle -> commandHandler.throttle(message, highestEpoch)
            is FromScheduler.Welcome, is FromScheduler.NotLeading, is FromScheduler.Reply, is FromScheduler.Pong ->
                Unit
        }
    }

    /** The leader answers each report. */
    override val needsPingsOnlyInSilence: Boolean
        get() = true

    override fun isCurrent(): Boolean = highestEpoch >= (directory.newest?.epoch ?: Epoch.NONE)

    override fun onDisconnected() {
        if (connection != null) logger.info("lost the connection to the leader of epoch {}", highestEpoch.value)
        connection = null
        lease = null
    }

    private fun follow(epoch: Epoch) {
        val current = GrantedLease(description?.incarnation ?: return, epoch)
        lease = current
        polling?.cancel()
        polling =
            scope.launch {
                runRestarting({ logger.error("unexpected error in polling, which is started again", it) }) {
                    poller.run(current) { lease === current }
                }
            }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
    }
}
