/*
 * An entry on the platform: it serves callers, and leads the scheduler or follows the entry that does. All decisions
 * run on one dispatcher that never runs two coroutines at a time.
 */
package org.greengagepass.entry.process.jobs

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.TcpListener
import org.greengagepass.platform.JobServer
import org.greengagepass.platform.LogConfigurationFeed
import org.greengagepass.platform.LogStateStore
import org.greengagepass.platform.PlatformClient
import org.greengagepass.platform.PlatformSettings
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.SchedulerDialer
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.platformHttpClient
import org.greengagepass.services.process.runRestarting

/** Runs an entry with [settings]. */
public class JobEntryProcess(
    private val settings: PlatformSettings,
) {
    private val decisions = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(SupervisorJob() + decisions)
    private val client = PlatformClient(platformHttpClient(Dispatchers.IO.asExecutor()), settings.storeAddress)
    private val store = LogStateStore(client, settings.storeRecordBytes)
    private val identity = EntryIdentity(settings.processName, "${settings.listenHost}:${settings.internalPort}")
    private val directory =
        LeaderDirectory(store) { logger.info("the announcement of the leader can't be read: {}", it.detail) }
    private val metrics = JobEntryMetrics()
    private val configuration = ConfigurationFollower(LogConfigurationFeed(client), ::moment)
    private val context =
        LeaderContext(
            scope = scope,
            store = store,
            clock = ::moment,
            configuration = { configuration.forScheduler() },
            decisions = DecisionLog(metrics.registry),
            newestEpoch = { directory.newest?.epoch ?: Epoch.NONE },
        )
    private val candidate = LeadershipCandidate(identity, settings.scheduler, directory, context)
    private val gateway = CallerGateway(decisions) { moment().now }
    private val view = JobEntryView(configuration, gateway, metrics)
    private val server =
        JobServer(
            callerAddress = requireNotNull(settings.callerAddress) { "the settings have no caller address" },
            readinessAddress = requireNotNull(settings.readinessAddress) { "the settings have no readiness address" },
            entry = view,
            gateway = gateway,
        )
    private val selector = SelectorManager(Dispatchers.IO)
    private val listener = TcpListener(selector, settings.listenHost, settings.internalPort, ::serve)
    private val leaderConnection = LeaderConnection(identity, settings.seedAddresses, directory, candidate, gateway)
    private val dialer = SchedulerDialer(FrameConnector(Dispatchers.IO), scope, leaderConnection)
    private val stopped = CompletableDeferred<Unit>()
    private var leader: Leader? = null

    /** Serves until the process receives SIGTERM, then stops gracefully. */
    public suspend fun runUntilStopped() {
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { withContext(decisions) { stop() } } })
        withContext(decisions) { start() }
        stopped.await()
    }

    private suspend fun start() {
        logger.info("entry {} starts at {}", identity.name, identity.address)
        server.start()
        listener.start(scope)
        launchRestarting("configuration") { configuration.follow() }
        launchRestarting("leader directory") { directory.follow() }
        launchRestarting("connection to the leader") { dialer.run() }
        launchRestarting("leadership") { leadWhenNeeded() }
    }

    private fun launchRestarting(
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch {
            runRestarting({ logger.error("unexpected error in {}, which is started again", name, it) }, work)
        }
    }

    private suspend fun leadWhenNeeded() {
        while (view.shutdownDeadline == null) {
            val newLeader = if (leaderConnection.isLeaderAvailable) null else candidate.tryLead()
            if (newLeader != null) lead(newLeader)
            delay(CANDIDATE_MILLIS)
        }
    }

    private suspend fun lead(newLeader: Leader) {
        val local = LocalLeaderClient(newLeader)
        leader = newLeader
        directory.update(newLeader.leadership)
        gateway.leaderClient.value = local
        scope.launch { announce(newLeader) }
        try {
            newLeader.run()
        } finally {
            leader = null
            gateway.leaderClient.compareAndSet(local, null)
            local.onLeadershipEnded()
            logger.info("the leadership of this entry in epoch {} has ended", newLeader.leadership.epoch.value)
        }
    }

    private suspend fun announce(newLeader: Leader) {
        while (newLeader.isActive && store.announce(newLeader.leadership).isLeft()) delay(ANNOUNCE_RETRY_MILLIS)
    }

    private suspend fun serve(socket: Socket) {
        val session =
            FramedConnection(
                socket,
                selector,
                MessageCodec(FromScheduler.serializer()),
                MessageCodec(ToScheduler.serializer()),
            )
        session.start(scope)
        val hello = withTimeoutOrNull(SchedulerDialer.SILENCE_MILLIS) { session.receive().getOrNull() }
        val activeLeader = leader?.takeIf { it.isActive }
        if (hello != null && activeLeader != null) {
            activeLeader.serve(session, hello)
            session.close()
        } else {
            session.send(FromScheduler.NotLeading(directory.newest?.address))
            session.closeAfterQueued()
        }
    }

    private suspend fun stop() {
        logger.info("entry {} stops with {} requests in progress", identity.name, server.requestsInProgress)
        val deadline = moment().now.plusMillis(settings.shutdownMillis * STOP_PERCENT / PERCENT)
        view.shutdownDeadline = deadline
        val rotationEnds = moment().now.plusMillis(ROTATION_MILLIS)
        leader?.isHandingOver = true
        while (moment().now < deadline && (moment().now < rotationEnds || isNeeded())) delay(STOP_POLL_MILLIS)
        leader?.end()
        listener.close()
        server.stop()
        scope.cancel()
        logger.info("entry {} has stopped", identity.name)
        stopped.complete(Unit)
        LogManager.shutdown()
    }

    /** True while requests are in progress and, since nothing starts without a leader, until another entry leads. */
    private fun isNeeded() = server.requestsInProgress > 0 || leader?.isActive == true

    private fun moment() = Moment(MonotonicClock.SYSTEM.now(), System.currentTimeMillis())

    private companion object {
        private val logger = LogManager.getLogger(JobEntryProcess::class.java)
        private const val CANDIDATE_MILLIS = 80L
        private const val ANNOUNCE_RETRY_MILLIS = 200L
        private const val STOP_POLL_MILLIS = 50L

        /** The balancer takes an entry out of rotation after two failed health checks, one a second. */
        private const val ROTATION_MILLIS = 2_500L

        /** Share of the time between SIGTERM and SIGKILL that is used to finish requests. */
        private const val STOP_PERCENT = 70
        private const val PERCENT = 100
    }
}
