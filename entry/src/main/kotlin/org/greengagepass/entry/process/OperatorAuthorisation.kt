/*
 * Checks the operators' token. The check belongs to the route that a call has reached, not to the path of the call,
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

/** Adds [installRoutes] to this route. Their calls need [token], if one is set. */
public fun Route.operatorRoutes(
    token: String?,
    installRoutes: Route.() -> Unit,
) {
    val authorised = (this as RoutingNode).createChild(AuthorisedRouteSelector())
    authorised.install(
        createRouteScopedPlugin("OperatorAuthorisation") {
            onCall { call ->
                if (!call.isAuthorised(token)) {
                    call.respondError(
                        ApiError(
                            ResultCode.UNAUTHORISED,
                            "the operators' token is missing or wrong; send it as a bearer token",
                        ),
                    )
                }
            }
        },
    )
    authorised.installRoutes()
}

private fun ApplicationCall.isAuthorised(token: String?): Boolean {
    val expected = token?.takeIf { it.isNotEmpty() } ?: return true
    val presented = request.headers["Authorization"].orEmpty().removePrefix("Bearer ")
    // Compares in constant time, so that the token can't be guessed by timing.
    return MessageDigest.isEqual(presented.encodeToByteArray(), expected.encodeToByteArray())
}

/** Consumes no part of the path. */
private class AuthorisedRouteSelector : RouteSelector() {
    override suspend fun evaluate(
        context: RoutingResolveContext,
        segmentIndex: Int,
    ): RouteSelectorEvaluation = RouteSelectorEvaluation.Transparent

    override fun toString(): String = "(operators)"
}
