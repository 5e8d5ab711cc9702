/*
 * The agent: joins connections, requests, tasks and the worker. Everything here runs on one thread, so that the
 * decisions see one event after the other.
 */
package org.greengagepass.agent.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.greengagepass.agent.connection.EntryLink
import org.greengagepass.agent.connection.EntryLinks
import org.greengagepass.agent.connection.EntrySelection
import org.greengagepass.agent.connection.LinkOwner
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

/** What an agent uses outside its own process, and its clock. */
internal class AgentContext(
    val connector: FrameConnector,
    val worker: WorkerService,
    val upstreams: UpstreamService,
    val clock: () -> Timestamp,
    val replaced: () -> Unit,
)

/** One agent process with [settings], on the single thread of [scope]. */
internal class Agent(
    private val settings: AgentSettings,
    private val around: AgentContext,
    private val scope: CoroutineScope,
) : LinkOwner {
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
    private val links =
        EntryLinks(scope, EntrySelection(settings.host, settings.entryAddresses)) {
            EntryLink(it, around.connector, owner = this)
        }
    private val handler = RequestHandler()
    private val requests =
        RequestService(
            handler,
            RequestContext(scope, around.upstreams, around.clock, links::send, log, metrics),
        )
    private val supervisor = TaskSupervisor(settings.reserve)
    private val reporter = OwnerReporter(links, supervisor.events)
    private val observer = WorkerEvents(log, metrics, reporter, around.replaced)
    private val driver = WorkerDriver(scope, around.worker, settings.incarnation, supervisor, observer)
    private val domain = FailureDomainView()
    private val heartbeats = Heartbeats(HeartbeatSources(around.clock, supervisor, handler, driver, domain))

    /** True if the agent can do work. */
    val isReady: Boolean get() = supervisor.isReady && links.welcome.isNotEmpty() && !heartbeats.draining

    /** Starts all activity. */
    fun start() {
        metrics.gauge("requests.unfinished") { handler.unfinished }
        metrics.gauge("tasks.running") { supervisor.runningTokens.size }
        metrics.gauge("entries.connected") { links.welcome.size }
        links.adjust()
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

    /** An upstream on this host announced itself. */
    fun announce(announcement: UpstreamAnnouncement) = requests.announce(announcement)

    /** Stops gracefully: refuses new work, finishes requests, checkpoints tasks and renews their leases. */
    suspend fun stop() {
        heartbeats.draining = true
        handler.startDraining()
        supervisor.startDraining()
        log.info("the agent is leaving")
        links.welcome.forEach { heartbeats.send(it, forOwner = it in links.owners) }
        Drain(around.clock, settings.drainMillis).await { handler.unfinished == 0 }
        driver.checkpointAll(supervisor.runningTokens)
        driver.refresh()
        links.owners.forEach { heartbeats.send(it, forOwner = true) }
        val awaited = heartbeats.newestSequence
        if (links.owners.isNotEmpty() && supervisor.runningTokens.isNotEmpty()) {
            Drain(around.clock, LAST_GRANT_MILLIS).await { supervisor.newestSequence >= awaited }
        }
        reporter.sendUnsent()
        links.closeAll()
        delay(CLOSING_MILLIS)
        log.info("the agent has stopped")
    }

    override fun now(): Timestamp = around.clock()

    override fun heartbeatDue(link: EntryLink) {
        if (link in links.owners) {
            scope.launch {
                driver.refresh()
                heartbeats.send(link, forOwner = true)
            }
        } else {
            heartbeats.send(link, forOwner = false)
        }
    }

    override fun received(
        link: EntryLink,
        message: EntryMessage,
    ) {
        when (message) {
            is EntryMessage.Welcome -> learn(link, message.entryAddresses, message.ownerAddress)
            is EntryMessage.HeartbeatAnswer -> answered(link, message)
            is EntryMessage.Grant -> driver.carryOut(supervisor.granted(message))
            is EntryMessage.Dispatch -> requests.receive(link.address, message)
            is EntryMessage.Inquire ->
                link.send(AgentMessage.InquiryAnswer(requests.inquire(link.address, message.inquiries)))
            is EntryMessage.Refusal -> Unit
        }
    }

    override fun disconnected(
        link: EntryLink,
        reason: String,
    ) {
        links.lost(link.address)
        metrics.disconnected()
        log.warn("not connected: $reason", LogSubject(entry = link.address))
    }

    private fun answered(
        link: EntryLink,
        answer: EntryMessage.HeartbeatAnswer,
    ) {
        if (domain.observe(answer.configurationVersion, answer.failureDomainOut)) {
            log.info(if (domain.isOut) "the failure domain is out" else "the failure domain is in")
            handler.failureDomainOut = domain.isOut
            supervisor.failureDomainOut = domain.isOut
        }
        learn(link, answer.entryAddresses, answer.ownerAddress)
    }

    private fun learn(
        link: EntryLink,
        addresses: List<String>,
        owner: String?,
    ) {
        val before = links.owners
        links.learn(link.address, addresses, owner)
        (links.owners - before.toSet()).forEach { newOwner ->
            reporter.sendAll(newOwner)
            heartbeatDue(newOwner)
        }
    }

    private suspend fun tick() {
        requests.tick()
        reporter.repeatEnds()
        if (links.owners.isEmpty()) driver.refresh()
    }

    private companion object {
        /** Time to wait for the grant that answers the last heartbeat; an owner answers within milliseconds. */
        private const val LAST_GRANT_MILLIS = 1_500L

        /** Time for the last frames to leave the process. */
        private const val CLOSING_MILLIS = 100L
    }
}
