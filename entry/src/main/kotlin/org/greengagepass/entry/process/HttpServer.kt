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
    private lateinit var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>

    /** Takes the port; returns the one that was taken. */
    public suspend fun start(): Int {
        server =
            embeddedServer(CIO, host = host, port = port) {
                observation.install(this)
                install(StatusPages) {
                    exception<Throwable> { call, cause -> call.respondInternal(cause) }
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

    /** Takes no more connections and waits up to [graceMillis] for calls in progress. */
    public suspend fun stop(graceMillis: Long) {
        server.stopSuspend(gracePeriodMillis = 0, timeoutMillis = graceMillis)
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
    }
}
