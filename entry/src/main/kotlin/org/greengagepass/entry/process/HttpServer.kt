/*
 * The HTTP server for callers and operators.
 */
package org.greengagepass.entry.process

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.plugins.statuspages.StatusPages
import io.ktor.server.request.path
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.respondError
import java.security.MessageDigest

/** Serves [installRoutes]; administration calls need [token] if one is set. */
public class HttpServer(
    private val host: String,
    private val port: Int,
    private val token: String?,
    private val installRoutes: Route.() -> Unit,
) {
    private lateinit var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>

    /** Takes the port; returns the one that was taken. */
    public suspend fun start(): Int {
        server =
            embeddedServer(CIO, host = host, port = port) {
                install(StatusPages) {
                    exception<Throwable> { call, cause -> call.respondInternal(cause) }
                }
                intercept(ApplicationCallPipeline.Plugins) {
                    if (!call.isAuthorised()) {
                        call.respondError(ApiError(ResultCode.UNAUTHORISED, "present the token as a bearer token"))
                        finish()
                    }
                }
                routing {
                    installRoutes()
                    route("{...}") {
                        handle {
                            call.respondError(ApiError(ResultCode.NOT_FOUND, "there is no ${call.request.path()}"))
                        }
                    }
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

    private fun ApplicationCall.isAuthorised(): Boolean {
        val isAdministration = ADMINISTRATION_PATHS.any { request.path().startsWith(it) }
        val expected = token?.takeIf { it.isNotEmpty() && isAdministration } ?: return true
        val presented = request.headers["Authorization"].orEmpty().removePrefix("Bearer ")
        // The comparison takes the same time whatever was presented, so that the token can't be guessed by timing.
        return MessageDigest.isEqual(presented.encodeToByteArray(), expected.encodeToByteArray())
    }

    private suspend fun ApplicationCall.respondInternal(cause: Throwable) {
        logger.error("call to {} failed", request.path(), cause)
        respondError(ApiError(ResultCode.INTERNAL, "the entry failed; its log holds the reason"))
    }

    private companion object {
        private val logger = LogManager.getLogger(HttpServer::class.java)
        private val ADMINISTRATION_PATHS =
            listOf("/v1/profiles", "/v1/failure-domains", "/v1/quotas", "/v1/workers")
    }
}
