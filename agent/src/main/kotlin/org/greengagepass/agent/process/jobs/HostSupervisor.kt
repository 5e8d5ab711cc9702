/*
 * The agent of one host on the platform: it follows the leading scheduler, carries out its orders at the executor, and
 * tells it what the executor holds. It keeps nothing that a restarted agent could not learn again. Confined to the
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
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.SchedulerConnectionListener
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.LeaderDirectory

/** Supervises [host]. */
internal class HostSupervisor(
    host: ExecutorClient,
    private val directory: LeaderDirectory,
    private val seedAddresses: List<String>,
    private val scope: CoroutineScope,
    metrics: HostMetrics,
) : SchedulerConnectionListener {
    private val poller = ExecutorPoller(host) { connection?.send(ToScheduler.Report(it)) }
    private val execution =
        CommandHandler(
            host = host,
            scope = scope,
            metrics = metrics,
            state =
                object : HostState {
                    override val isLeaving: Boolean get() = description?.isDraining ?: true
                    override val pollNumber: Long get() = poller.pollNumber

                    override fun isCurrent(call: ExecutorCallContext) = this@HostSupervisor.isCurrent(call)

                    override fun answer(message: ToScheduler) {
                        connection?.send(message)
                    }
                },
        )
    private var description: HostDescription? = null
    private var connection: FramedConnection<ToScheduler, FromScheduler>? = null
    private var grant: GrantedLease? = null
    private var polling: Job? = null
    private var highestEpoch = Epoch.NONE

    /** The executor has said what it is. */
    fun onAlive(heard: HostDescription) {
        val known = description
        if (known == heard) return
        description = heard
        val isOtherLife = known != null && known.incarnation != heard.incarnation
        if (known == null || isOtherLife || known.isDraining != heard.isDraining) {
            logger.info("host {} of pool {}, draining: {}", heard.incarnation, heard.pool.value, heard.isDraining)
        }
        if (isOtherLife) connection?.send(ToScheduler.HostGone(known.incarnation))
        connection?.send(ToScheduler.HostDescribed(heard))
        if (isOtherLife) connection?.let { follow(highestEpoch) }
    }

    /** The executor has left. */
    fun onLeft(left: ExecutorName) {
        val known = description?.takeIf { it.incarnation.executor == left } ?: return
        logger.info("host {} has left", known.incarnation)
        connection?.send(ToScheduler.HostGone(known.incarnation))
        description = null
        grant = null
    }

    override fun addresses(): List<String> = listOfNotNull(directory.newest?.address) + seedAddresses

    override fun hello(): ToScheduler? = description?.let { ToScheduler.HostHello(PROTOCOL_VERSION, it) }

    override fun onConnected(
        epoch: Epoch,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    ) {
        if (epoch < highestEpoch) {
            logger.info("the scheduler at {} leads an epoch that is over", connection.remoteAddress)
            connection.close()
            return
        }
        logger.info("follows the scheduler of epoch {} at {}", epoch.value, connection.remoteAddress)
        highestEpoch = epoch
        this.connection = connection
        description?.let { connection.send(ToScheduler.HostDescribed(it)) }
        follow(epoch)
    }

    override fun onMessage(message: FromScheduler) {
        when (message) {
            is FromScheduler.Grant -> {
                val granted = grant?.takeIf { it.incarnation == message.incarnation }
                granted?.leaseUntilHostClock = message.leaseUntilHostClock
                poller.onAnswer()
            }
            is FromScheduler.AcknowledgeEnds -> {
                val granted = grant?.takeIf { it.incarnation == message.incarnation }
                granted?.acknowledgedEnds = message.through
                poller.onAnswer()
            }
            is FromScheduler.Start -> execution.start(message, highestEpoch)
            is FromScheduler.Stop -> execution.stop(message, highestEpoch)
            is FromScheduler.Throttle -> execution.throttle(message, highestEpoch)
            is FromScheduler.Welcome, is FromScheduler.NotLeading, is FromScheduler.Reply, is FromScheduler.Pong ->
                Unit
        }
    }

    override fun isCurrent(): Boolean = highestEpoch >= (directory.newest?.epoch ?: Epoch.NONE)

    override fun onDisconnected() {
        if (connection != null) logger.info("the scheduler of epoch {} is lost", highestEpoch.value)
        connection = null
        grant = null
    }

    private fun follow(epoch: Epoch) {
        val current = GrantedLease(description?.incarnation ?: return, epoch)
        grant = current
        polling?.cancel()
        polling = scope.launch { poller.run(current) { grant === current } }
    }

    private fun isCurrent(call: ExecutorCallContext): Boolean =
        grant?.let { it.incarnation == call.incarnation && it.epoch == call.epoch } ?: false

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")
    }
}
