/*
 * The agent: connects the entry connections, requests, tasks and the worker. All code here runs on one thread, so that
 * events are handled one at a time.
 */
package org.greengagepass.agent.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.greengagepass.agent.connection.EntryConnection
import org.greengagepass.agent.connection.EntryConnectionListener
import org.greengagepass.agent.connection.EntryConnections
import org.greengagepass.agent.connection.EntrySelection
import org.greengagepass.agent.request.RequestContext
import org.greengagepass.agent.request.RequestHandler
import org.greengagepass.agent.request.RequestService
import org.greengagepass.agent.version.FailureDomainView
import org.greengagepass.core.Timestamp
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.services.process.UpstreamAnnouncement
import org.greengagepass.services.process.UpstreamService
import org.greengagepass.services.process.WorkerService

private const val TICK_MILLIS = 1_000L

/** Clients, clock and callback that the process gives to its agent. */
internal class AgentContext(
    val connector: FrameConnector,
    val worker: WorkerService,
    val upstreams: UpstreamService,
    val clock: () -> Timestamp,
    val onReplaced: () -> Unit,
)

/** Agent of one host, configured by [settings]. It runs on the single thread of [scope]. */
internal class Agent(
    private val settings: AgentSettings,
    private val context: AgentContext,
    private val scope: CoroutineScope,
) : EntryConnectionListener {
    /** Metrics of the process. */
    val metrics = AgentMetrics()

    override val hello =
        AgentMessage.Hello(
            protocolVersion = PROTOCOL_VERSION,
            host = settings.host,
            incarnation = settings.incarnation,
            failureDomain = settings.failureDomain,
            rack = settings.rack,
        )

    private val log = AgentLog(settings.host.value, settings.failureDomain.value)
    private val connections =
        EntryConnections(scope, EntrySelection(settings.host, settings.entryAddresses)) {
            EntryConnection(it, context.connector, listener = this)
        }
    private val handler = RequestHandler()
    private val requests =
        RequestService(
            handler,
            RequestContext(scope, context.upstreams, context.clock, connections::send, log, metrics),
        )
    private val supervisor = TaskSupervisor(settings.reserve)
    private val reporter = OwnerReporter(connections, supervisor.events)
    private val observer = WorkerEvents(log, metrics, reporter, context.onReplaced)
    private val driver = WorkerDriver(scope, context.worker, settings.incarnation, supervisor, observer)
    private val domain = FailureDomainView()
    private val heartbeats = Heartbeats(HeartbeatSources(context.clock, supervisor, handler, driver, domain))

    /** True if the agent can accept work. */
    val isReady: Boolean get() = supervisor.isReady && connections.welcomed.isNotEmpty() && !heartbeats.draining

    /** Starts the connections, the worker calls and the periodic jobs. */
    fun start() {
        metrics.gauge("requests.unfinished") { handler.unfinished }
        metrics.gauge("tasks.running") { supervisor.runningTokens.size }
        metrics.gauge("entries.connected") { connections.welcomed.size }
        connections.reconcile()
        scope.launch { driver.attach() }
        scope.launch {
            while (true) {
                delay(TICK_MILLIS)
                tick()
            }
        }
        scope.launch { driver.checkpointEvery(settings.checkpointIntervalMillis) { supervisor.runningTokens } }
        log.info("the agent has started")
    }

    /** Handles the announcement of an upstream on this host. */
    fun announce(announcement: UpstreamAnnouncement) = requests.announce(announcement)

    /** Stops gracefully: refuses new work, finishes requests, checkpoints tasks and renews their leases. */
    suspend fun stop() {
        heartbeats.draining = true
        handler.startDraining()
        supervisor.startDraining()
        log.info("the agent is draining")
        connections.welcomed.forEach { heartbeats.send(it, forOwner = it in connections.owners) }
        BoundedWait(context.clock, settings.drainMillis).await { handler.unfinished == 0 }
        driver.checkpointAll(supervisor.runningTokens)
        driver.refresh()
        connections.owners.forEach { heartbeats.send(it, forOwner = true) }
        val lastSequence = heartbeats.newestSequence
        if (connections.owners.isNotEmpty() && supervisor.runningTokens.isNotEmpty()) {
            BoundedWait(context.clock, LAST_GRANT_TIMEOUT_MILLIS).await { supervisor.newestSequence >= lastSequence }
        }
        reporter.sendUnsent()
        connections.closeAll()
        delay(CLOSING_MILLIS)
        log.info("the agent has stopped")
    }

    override fun now(): Timestamp = context.clock()

    override fun onHeartbeatDue(connection: EntryConnection) {
        if (connection in connections.owners) {
            scope.launch {
                driver.refresh()
                heartbeats.send(connection, forOwner = true)
            }
        } else {
            heartbeats.send(connection, forOwner = false)
        }
    }

    override fun onMessage(
        connection: EntryConnection,
        message: EntryMessage,
    ) {
        when (message) {
            is EntryMessage.Welcome -> updateEntries(connection, message.entryAddresses, message.ownerAddress)
            is EntryMessage.HeartbeatAnswer -> onHeartbeatAnswer(connection, message)
            is EntryMessage.Grant -> driver.carryOut(supervisor.granted(message))
            is EntryMessage.Dispatch -> requests.receive(connection.address, message)
            is EntryMessage.Inquire ->
                connection.send(AgentMessage.InquiryAnswer(requests.inquire(connection.address, message.inquiries)))
            is EntryMessage.Refusal -> Unit
        }
    }

    override fun onDisconnected(
        connection: EntryConnection,
        reason: String,
    ) {
        connections.onDisconnected(connection.address)
        metrics.recordDisconnection()
        log.warn("not connected: $reason", LogSubject(entry = connection.address))
    }

    private fun onHeartbeatAnswer(
        connection: EntryConnection,
        answer: EntryMessage.HeartbeatAnswer,
    ) {
        if (domain.observe(answer.configurationVersion, answer.failureDomainOut)) {
            log.info(if (domain.isOut) "the failure domain is out of service" else "the failure domain is in service")
            handler.failureDomainOut = domain.isOut
            supervisor.failureDomainOut = domain.isOut
        }
        updateEntries(connection, answer.entryAddresses, answer.ownerAddress)
    }

    private fun updateEntries(
        connection: EntryConnection,
        addresses: List<String>,
        owner: String?,
    ) {
        val previousOwners = connections.owners
        connections.update(connection.address, addresses, owner)
        (connections.owners - previousOwners.toSet()).forEach { newOwner ->
            reporter.sendAll(newOwner)
            onHeartbeatDue(newOwner)
        }
    }

    private suspend fun tick() {
        requests.tick()
        reporter.repeatEnds()
        if (connections.owners.isEmpty()) driver.refresh()
    }

    private companion object {
        /** Longest wait for the grant that answers the last heartbeat; an owner answers within milliseconds. */
        private const val LAST_GRANT_TIMEOUT_MILLIS = 1_500L

        /** Time to write the last queued frames. */
        private const val CLOSING_MILLIS = 100L
    }
}
