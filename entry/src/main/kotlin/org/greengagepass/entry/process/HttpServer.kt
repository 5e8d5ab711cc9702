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
     * Binds the port and returns it. Disables the engine's own shutdown hook, which would run during the graceful stop
     * and cancel calls in progress after a second.
     */
    public suspend fun start(): Int {
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        server =
            embeddedServer(CIO, host = host, port = port) {
                observation.install(this)
                calls.install(this)
                install(StatusPages) {
                    exception<Throwable> { call, cause ->
                        // Nobody waits for this answer. Swallowing the cancellation would keep the call running.
                        if (cause is CancellationException) throw cause
                        call.respondInternal(cause)
                    }
                }
                routing {
                    installRoutes()
                    route("{path...}") { handle { call.respondNoRoute() } }
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

    private suspend fun ApplicationCall.respondNoRoute() =
        respondError(
            ApiError(ResultCode.NOT_FOUND, "no route matches ${request.httpMethod.value} ${request.path()}"),
        )

    private suspend fun ApplicationCall.respondInternal(cause: Throwable) {
        logger.error("call to {} failed", request.path(), cause)
        respondError(ApiError(ResultCode.INTERNAL, "the entry failed to handle the call; its log shows the cause"))
    }

    private companion object {
        private val logger = LogManager.getLogger(HttpServer::class.java)

        /**
         * Time for the last answers to leave the socket buffers. The engine waits as long for idle connections and then
         * cancels the rest; without this time it cancels at once.
         */
        private const val FLUSH_MILLIS = 1_000L
    }
}
