/*
 * The agent's HTTP server: announcements of upstreams, health, readiness and metrics.
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

/** Seconds that a client may take to send a request, so that a stalled client does not block announcements. */
private const val REQUEST_SECONDS_MAXIMUM = "2"

/** Serves [agent], whose state is accessed only on [dispatcher]. */
internal class AgentServer(
    private val agent: Agent,
    private val dispatcher: CoroutineDispatcher,
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private var server: HttpServer? = null

    /** Listens on [host] and [port] and returns the port. Port 0 selects a free one. */
    fun start(
        host: String,
        port: Int,
    ): Int {
        System.setProperty("sun.net.httpserver.maxReqTime", REQUEST_SECONDS_MAXIMUM)
        val started = HttpServer.create(InetSocketAddress(host, port), 0)
        started.createContext("/announcements") { exchange -> respond(exchange, ::announce) }
        started.createContext("/health") { exchange -> respond(exchange) { onAgent { Response(STATUS_OK, "ok\n") } } }
        started.createContext("/ready") { exchange -> respond(exchange) { onAgent(::readiness) } }
        started.createContext("/metrics") { exchange ->
            respond(exchange) { onAgent { Response(STATUS_OK, agent.metrics.text()) } }
        }
        started.start()
        server = started
        return started.address.port
    }

    override fun close() {
        server?.stop(0)
    }

    private fun announce(exchange: HttpExchange): Response =
        try {
            val body = exchange.requestBody.readNBytes(BODY_BYTES_MAXIMUM).decodeToString()
            val announcement = json.decodeFromString(UpstreamAnnouncement.serializer(), body)
            onAgent { agent.announce(announcement) }
            Response(STATUS_OK, "")
        } catch (cause: SerializationException) {
            Response(STATUS_BAD_REQUEST, "not an announcement: ${cause.message}\n")
        }

    private fun readiness(): Response =
        if (agent.isReady) Response(STATUS_OK, "ready\n") else Response(STATUS_UNAVAILABLE, "not ready\n")

    private fun <T> onAgent(block: () -> T): T = runBlocking(dispatcher) { block() }

    private fun respond(
        exchange: HttpExchange,
        handle: (HttpExchange) -> Response,
    ) = exchange.use {
        val response = handle(it)
        val bytes = response.text.toByteArray()
        it.sendResponseHeaders(response.status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
        it.responseBody.write(bytes)
    }
}

private data class Response(
    val status: Int,
    val text: String,
)

private inline fun HttpExchange.use(block: (HttpExchange) -> Unit) =
    try {
        block(this)
    } finally {
        close()
    }
