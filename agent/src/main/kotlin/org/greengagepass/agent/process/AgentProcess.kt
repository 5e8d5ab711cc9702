/*
 * Assembles the process of an agent: its thread, its clients, its server and its shutdown.
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

/** Agent process configured by [settings]. [onReplaced] is called when a newer agent has attached to the worker. */
internal class AgentProcess(
    private val settings: AgentSettings,
    onReplaced: () -> Unit,
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
        val context =
            AgentContext(
                connector = connector,
                worker = HttpWorkerService(client, settings.workerAddress),
                upstreams = HttpUpstreamService(client),
                clock = { Timestamp((System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI) },
                onReplaced = onReplaced,
            )
        agent = Agent(settings, context, scope)
        server = AgentServer(agent, dispatcher)
    }

    /** Starts the agent and returns the port of its HTTP server. */
    fun start(): Int {
        runBlocking(dispatcher) { agent.start() }
        return server.start(settings.listenHost, settings.listenPort)
    }

    /** Stops gracefully; returns when the process has released everything. */
    fun stop() {
        runBlocking { withContext(dispatcher) { agent.stop() } }
        kill()
    }

    /** Stops immediately, as a crash would. */
    fun kill() {
        server.close()
        scope.cancel()
        connector.close()
        thread.shutdown()
        selectorThread.shutdown()
    }
}
