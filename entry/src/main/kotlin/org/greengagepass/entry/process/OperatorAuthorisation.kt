/*
 * The operators' token. It is checked on the route that a call has reached and not on the path as it was sent,
 * because one route can be reached by several spellings of its path, for example /v1/%70rofiles.
 */
package org.greengagepass.entry.process

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.createRouteScopedPlugin
import io.ktor.server.application.install
import io.ktor.server.routing.Route
import io.ktor.server.routing.RouteSelector
import io.ktor.server.routing.RouteSelectorEvaluation
import io.ktor.server.routing.RoutingNode
import io.ktor.server.routing.RoutingResolveContext
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.respondError
import java.security.MessageDigest

/** Adds [installRoutes] to this route so that they need [token], if one is set. */
public fun Route.operatorRoutes(
    token: String?,
    installRoutes: Route.() -> Unit,
) {
    val guarded = (this as RoutingNode).createChild(GuardedSelector())
    guarded.install(
        createRouteScopedPlugin("OperatorAuthorisation") {
            onCall { call ->
                if (!call.presents(token)) {
                    call.respondError(ApiError(ResultCode.UNAUTHORISED, "present the token as a bearer token"))
                }
            }
        },
    )
    guarded.installRoutes()
}

private fun ApplicationCall.presents(token: String?): Boolean {
    val expected = token?.takeIf { it.isNotEmpty() } ?: return true
    val presented = request.headers["Authorization"].orEmpty().removePrefix("Bearer ")
    // The comparison takes the same time whatever was presented, so that the token can't be guessed by timing.
    return MessageDigest.isEqual(presented.encodeToByteArray(), expected.encodeToByteArray())
}

/** Consumes no part of the path. */
private class GuardedSelector : RouteSelector() {
    override suspend fun evaluate(
        context: RoutingResolveContext,
        segmentIndex: Int,
    ): RouteSelectorEvaluation = RouteSelectorEvaluation.Transparent

    override fun toString(): String = "(operators)"
}
