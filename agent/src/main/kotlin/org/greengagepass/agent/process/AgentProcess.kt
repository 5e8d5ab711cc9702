/*
 * Assembles the process around an agent: its thread, its clients, its server, and what happens when it is told to
 * end.
 */
package org.greengagepass.agent.process

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import org.greengagepass.core.Timestamp
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.services.process.HttpUpstreamService
import org.greengagepass.services.process.HttpWorkerService
import org.greengagepass.services.process.platformHttpClient
import java.util.concurrent.Executors

private const val NANOS_PER_MILLI = 1_000_000L

/** A running agent with [settings]. [replaced] is called when a newer agent has taken the worker over. */
internal class AgentProcess(
    private val settings: AgentSettings,
    replaced: () -> Unit,
) {
    private val thread = Executors.newSingleThreadExecutor { Thread(it, "agent") }
    private val dispatcher = thread.asCoroutineDispatcher()
    private val selectorThread = Executors.newSingleThreadExecutor { Thread(it, "selector") }
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val connector = FrameConnector(selectorThread.asCoroutineDispatcher())
    private val agent: Agent
    private val server: AgentServer

    init {
        val client = platformHttpClient(thread)
        val startedAtNanos = System.nanoTime()
        val around =
            AgentContext(
                connector = connector,
                worker = HttpWorkerService(client, settings.workerAddress),
                upstreams = HttpUpstreamService(client),
                clock = { Timestamp((System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI) },
                replaced = replaced,
            )
        agent = Agent(settings, around, scope)
        server = AgentServer(agent, dispatcher)
    }

    /** Starts, and gives the port that is listened on. */
    fun start(): Int {
        runBlocking(dispatcher) { agent.start() }
        return server.start(settings.listenHost, settings.listenPort)
    }

    /** Stops gracefully and returns when done. */
    fun stop() {
        runBlocking { withContext(dispatcher) { agent.stop() } }
        kill()
    }

    /** Ends at once, as a crash would. */
    fun kill() {
        server.close()
        scope.cancel()
        connector.close()
        thread.shutdown()
        selectorThread.shutdown()
    }
}
