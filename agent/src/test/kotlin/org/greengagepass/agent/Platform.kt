/*
 * Stand-ins for the platform in the process of the test, and agents that use them.
 */
package org.greengagepass.agent

import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.runBlocking
import org.greengagepass.agent.process.AgentProcess
import org.greengagepass.agent.process.AgentSettings
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.services.process.UpstreamAnnouncement
import org.greengagepass.standins.process.SimulatedWorker
import org.greengagepass.standins.process.WorkerRoutes
import org.greengagepass.standins.process.monotonicClock
import org.greengagepass.standins.process.startServer
import org.greengagepass.standins.request.Announcer
import org.greengagepass.standins.request.Executor
import org.greengagepass.standins.request.ExecutorRoutes
import java.net.http.HttpClient
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random

internal class Platform : AutoCloseable {
    val worker = SimulatedWorker("worker", CAPACITY, usageLagMillis = 500)
    val executor = Executor("executor", slots = 2, Random(1))
    val clock = monotonicClock(offsetMillis = 1_000_000)
    val agents = CopyOnWriteArrayList<AgentProcess>()
    var replacedAgents = 0
    private val servers = mutableListOf<EmbeddedServer<*, *>>()
    val workerPort = serve { WorkerRoutes(worker, clock).install(this) }
    private val executorPort = serve { ExecutorRoutes(executor).install(this) }
    private var nextIncarnation = 1L

    @Volatile private var open = true
    private val ticker =
        thread(isDaemon = true) {
            while (open) {
                worker.advance(clock())
                Thread.sleep(TICK_MILLIS)
            }
        }

    fun startAgent(vararg entryAddresses: String): AgentProcess {
        val settings =
            AgentSettings(
                host = HostId("host"),
                incarnation = Incarnation(nextIncarnation++),
                failureDomain = FailureDomainName("medina"),
                rack = RackName("rack"),
                entryAddresses = entryAddresses.toList(),
                workerAddress = "http://127.0.0.1:$workerPort",
                listenHost = "127.0.0.1",
                listenPort = 0,
                reserve = Resources(1_000, 1_000),
                drainMillis = 5_000,
            )
        return AgentProcess(settings) { replacedAgents++ }.also { agents += it }
    }

    /** Returns an announcer for the executor. An announcement lasts 3 s. */
    fun announcer(agentPort: Int) =
        Announcer(
            HttpClient.newHttpClient(),
            "http://127.0.0.1:$agentPort",
            UpstreamAnnouncement(ServiceName("order"), "http://127.0.0.1:$executorPort", slots = 2),
        )

    override fun close() {
        agents.forEach { it.kill() }
        servers.forEach { it.stop(0, 0) }
        open = false
        ticker.join()
    }

    private fun serve(routes: io.ktor.server.routing.Routing.() -> Unit): Int {
        val server = startServer(0, routes)
        servers += server
        return runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }
    }

    companion object {
        val CAPACITY = Resources(4_000, 4_000)
        private const val TICK_MILLIS = 10L
    }
}
