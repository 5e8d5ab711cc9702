/*
 * The agent's small HTTP server: announcements of upstreams, health, readiness and metrics.
 */
package org.greengagepass.agent.process

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.greengagepass.services.process.UpstreamAnnouncement
import java.net.InetSocketAddress

private const val STATUS_OK = 200
private const val STATUS_BAD_REQUEST = 400
private const val STATUS_UNAVAILABLE = 503
private const val BODY_BYTES_MAXIMUM = 65_536

/** Seconds that a client may take to send a request, so that a stuck one doesn't hold up announcements. */
private const val REQUEST_SECONDS_MAXIMUM = "2"

/** Serves [agent], whose state is only touched on [dispatcher]. */
internal class AgentServer(
    private val agent: Agent,
    private val dispatcher: CoroutineDispatcher,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private var server: HttpServer? = null

    /** Listens on [host] and [port] and gives the port; port 0 takes a free one. */
    fun start(
        host: String,
        port: Int,
    ): Int {
        System.setProperty("sun.net.httpserver.maxReqTime", REQUEST_SECONDS_MAXIMUM)
        val started = HttpServer.create(InetSocketAddress(host, port), 0)
        started.createContext("/announcements") { exchange -> answer(exchange, ::announce) }
        started.createContext("/health") { exchange -> answer(exchange) { onAgent { Reply(STATUS_OK, "ok\n") } } }
        started.createContext("/ready") { exchange -> answer(exchange) { onAgent(::readiness) } }
        started.createContext("/metrics") { exchange ->
            answer(exchange) { onAgent { Reply(STATUS_OK, agent.metrics.text()) } }
        }
        started.start()
        server = started
        return started.address.port
    }

    override fun close() {
        server?.stop(0)
    }

    private fun announce(exchange: HttpExchange): Reply =
        try {
            val body = exchange.requestBody.readNBytes(BODY_BYTES_MAXIMUM).decodeToString()
            val announcement = json.decodeFromString(UpstreamAnnouncement.serializer(), body)
            onAgent { agent.announce(announcement) }
            Reply(STATUS_OK, "")
        } catch (cause: SerializationException) {
            Reply(STATUS_BAD_REQUEST, "no announcement: ${cause.message}\n")
        }

    private fun readiness(): Reply =
        if (agent.isReady) Reply(STATUS_OK, "ready\n") else Reply(STATUS_UNAVAILABLE, "not ready\n")

    private fun <T> onAgent(block: () -> T): T = runBlocking(dispatcher) { block() }

    private fun answer(
        exchange: HttpExchange,
        handle: (HttpExchange) -> Reply,
    ) = exchange.use {
        val reply = handle(it)
        val bytes = reply.text.toByteArray()
        it.sendResponseHeaders(reply.status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        it.responseBody.write(bytes)
    }
}

private data class Reply(
    val status: Int,
    val text: String,
)

private inline fun HttpExchange.use(block: (HttpExchange) -> Unit) =
    try {
        block(this)
    } finally {
        close()
    }
