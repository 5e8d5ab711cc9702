/*
 * The HTTP server for callers and operators.
 */
package org.greengagepass.entry.process

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.plugins.statuspages.StatusPages
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.respondError

/** Serves [installRoutes]. */
public class HttpServer(
    private val host: String,
    private val port: Int,
    private val observation: CallObservation,
    private val installRoutes: Route.() -> Unit,
) {
    private val calls = CallsInProgress()
    private lateinit var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>

    /**
     * Takes the port. The engine's own shutdown hook is switched off: it would run beside the graceful stop and cancel
     * calls in progress after a second. Returns the port that was taken.
     */
    public suspend fun start(): Int {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        server =
            embeddedServer(CIO, host = host, port = port) {
                observation.install(this)
                calls.install(this)
                install(StatusPages) {
                    exception<Throwable> { call, cause ->
                        // A cancelled call has nobody to answer to; swallowing the cancellation would keep it alive.
                        if (cause is CancellationException) throw cause
                        call.respondInternal(cause)
                    }
                }
                routing {
                    installRoutes()
                    route("{path...}") { handle { call.respondNoSuchCall() } }
                }
            }
        server.startSuspend(wait = false)
        return server.engine
            .resolvedConnectors()
            .first()
            .port
    }

    /** True if new calls are refused. */
    public val isDraining: Boolean
        get() = calls.isDraining

    /** Refuses new calls, waits up to [graceMillis] for calls in progress, and closes the connections. */
    public suspend fun stop(graceMillis: Long) {
        if (!calls.drain(graceMillis)) logger.warn("calls are still in progress after {} ms", graceMillis)
        server.stopSuspend(gracePeriodMillis = FLUSH_MILLIS, timeoutMillis = 2 * FLUSH_MILLIS)
    }

    private suspend fun ApplicationCall.respondNoSuchCall() =
        respondError(
            ApiError(ResultCode.NOT_FOUND, "there is no call ${request.httpMethod.value} ${request.path()}"),
        )

    private suspend fun ApplicationCall.respondInternal(cause: Throwable) {
        logger.error("call to {} failed", request.path(), cause)
        respondError(ApiError(ResultCode.INTERNAL, "the entry failed; its log holds the reason"))
    }

    private companion object {
        private val logger = LogManager.getLogger(HttpServer::class.java)

        /**
         * Time for the last answers to leave the socket buffers. The engine waits as long for idle connections, and
         * cancels what is left; without this time it cancels at once.
         */
        private const val FLUSH_MILLIS = 1_000L
    }
}
