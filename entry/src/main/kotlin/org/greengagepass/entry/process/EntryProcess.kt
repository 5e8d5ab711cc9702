/*
 * One entry process: its listeners, its copies of the log's streams, and its shutdown. All decisions run on one
 * dispatcher that never runs two coroutines at a time, so the core needs no locks.
 */
package org.greengagepass.entry.process

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asExecutor
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.process.OwnerIdentity
import org.greengagepass.core.process.OwnerSettings
import org.greengagepass.core.process.RetentionSettings
import org.greengagepass.core.version.ConfigurationBatch
import org.greengagepass.core.version.ConfigurationRecord
import org.greengagepass.entry.connection.AgentHub
import org.greengagepass.entry.connection.PeerHub
import org.greengagepass.entry.connection.PeerServer
import org.greengagepass.entry.request.RequestGateway
import org.greengagepass.entry.request.RequestRunner
import org.greengagepass.entry.request.ServicePolicies
import org.greengagepass.entry.version.CONFIGURATION_STREAM
import org.greengagepass.entry.version.ConfigurationService
import org.greengagepass.entry.version.ConfigurationSnapshots
import org.greengagepass.entry.version.ConfigurationSource
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.services.process.HttpLogService
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.platformHttpClient

/** Runs an entry with [settings]. */
public class EntryProcess(
    private val settings: EntrySettings,
) {
    private val clock = MonotonicClock.SYSTEM
    private val decisions = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(SupervisorJob() + decisions)
    private val log: LogService =
        HttpLogService(platformHttpClient(Dispatchers.IO.asExecutor()), settings.logUrl)
    private val configurationAppender =
        StreamAppender<ConfigurationRecord>(
            log,
            CONFIGURATION_STREAM,
            settings.flushWindowMillis,
        ) { sequence, records ->
            BatchCodec.CONFIGURATION.encode(ConfigurationBatch(settings.entryId.value, sequence, records))
        }
    private val tracing = Tracing.of(settings)
    private val metrics = EntryMetrics()
    private val policies = ServicePolicies(settings.entryId, settings.failureDomain)
    private val runner = RequestRunner(policies, clock, tracing) { hub[it] }
    private val configuration =
        ConfigurationService(configurationAppender) { policies.failureDomainsOut = it.failureDomainsOut }
    private val configurationSnapshots =
        ConfigurationSnapshots(log, settings.entryId.value, settings.logRetentionMillis)
    private val partitions = Partitions((0 until settings.partitions).map(::partition))
    private val selector = SelectorManager(Dispatchers.IO)
    private val hub: AgentHub =
        AgentHub(scope, selector, EntryAgentMessageHandler(settings, configuration, runner, partitions, metrics))
    private val peerMessages = EntryPeerMessageHandler(configuration, clock) { gateway.executeForwarded(it) }
    private val peerServer = PeerServer(settings.entryId, scope, selector, peerMessages)
    private val peers: PeerHub =
        PeerHub(
            self = settings.entryId,
            addresses = settings.peers,
            scope = scope,
            connector = FrameConnector(Dispatchers.IO),
            clock = clock,
            handler = peerMessages,
        )
    private val gateway: RequestGateway = RequestGateway(runner, partitions, peers, clock, tracing)
    private val components = EntryComponents(settings, configuration, partitions, hub, peers, runner)
    private val status = EntryStatus(components)
    private val agentListener = TcpListener(selector, settings.agentHost, settings.agentPort, hub::serve)
    private val peerListener = TcpListener(selector, settings.agentHost, settings.peerPort, peerServer::serve)
    private val http =
        HttpServer(
            settings.httpHost,
            settings.httpPort,
            CallObservation(settings.failureDomain.value, tracing, metrics),
        ) {
            EntryRoutes(components, status, gateway, metrics, decisions).install(this)
        }
    private val stopped = CompletableDeferred<Unit>()

    /** Serves until the process receives SIGTERM, then stops gracefully. */
    public suspend fun runUntilStopped() {
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { stop() } })
        withContext(decisions) { start() }
        stopped.await()
    }

    private suspend fun start() {
        scope.launch { configurationAppender.run() }
        scope.launch { followConfiguration() }
        partitions.all.forEach { scope.launch { it.follow() } }
        scope.launch { tickUntilStopped() }
        agentListener.start(scope)
        peerListener.start(scope)
        peers.start()
        val httpPort = http.start()
        logger.info(
            "entry {} serves callers on port {} and agents on port {}",
            settings.entryId.value,
            httpPort,
            agentListener.boundPort,
        )
    }

    private suspend fun followConfiguration() {
        while (configurationSnapshots.restore(configuration.completeState).isLeft()) {
            delay(RESTORE_DELAY_MILLIS)
        }
        StreamFollower(
            log = log,
            stream = CONFIGURATION_STREAM,
            clock = clock,
            fromOffset = configuration.completeState.nextOffset,
            onFailure = { configuration.onReadFailed() },
            onPage = configuration::onPage,
        ).run()
    }

    private suspend fun tickUntilStopped() {
        while (true) {
            runner.tick()
            partitions.all.forEach { it.tick() }
            if (partitions.all.first().isOwned) writeConfigurationSnapshotIfDue()
            delay(TICK_MILLIS)
        }
    }

    private fun writeConfigurationSnapshotIfDue() {
        configurationSnapshots.dueSnapshot(configuration.completeState, clock.now())?.let { snapshot ->
            scope.launch { configurationSnapshots.write(snapshot) }
        }
    }

    /** Reports not ready, finishes requests in progress, releases the partitions, and closes the connections. */
    private suspend fun stop() {
        logger.info("entry {} stops", settings.entryId.value)
        status.isStopping = true
        delay(settings.notReadyMillis)
        val releases = partitions.all.map { scope.launch { it.release() } }
        http.stop(settings.shutdownMillis)
        if (withTimeoutOrNull(RELEASE_MILLIS) { releases.joinAll() } == null) {
            logger.warn("the release of the partitions was not read back; the next owner waits until the leases expire")
        }
        agentListener.close()
        peerListener.close()
        scope.cancel()
        tracing.close()
        logger.info("entry {} has stopped", settings.entryId.value)
        stopped.complete(Unit)
        LogManager.shutdown()
    }

    private fun partition(number: Int): PartitionService =
        PartitionService(
            number = PartitionNumber(number),
            context =
                PartitionContext(
                    scope = scope,
                    log = log,
                    clock = clock,
                    epochMillis = System::currentTimeMillis,
                    sessionOf = { hub[it] },
                    requests = runner,
                    identity = OwnerIdentity(settings.entryId, settings.advertisedAddress),
                    settings = ownerSettings(),
                    configuration = ConfigurationSource(configuration),
                    placement = PartitionPlacement(configuration, clock),
                ),
        )

    private fun ownerSettings(): OwnerSettings =
        OwnerSettings(
            flushWindowMillis = settings.flushWindowMillis,
            shutdownMillis = settings.shutdownMillis,
            retention = RetentionSettings(logMillis = settings.logRetentionMillis),
        )

    private companion object {
        private val logger = LogManager.getLogger(EntryProcess::class.java)
        private const val TICK_MILLIS = 10L
        private const val RESTORE_DELAY_MILLIS = 500L

        /** Time for the release of the partitions to be read back. Without it the next owner waits for the leases. */
        private const val RELEASE_MILLIS = 5_000L
    }
}
