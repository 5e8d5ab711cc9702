/*
 * HTTP calls for the state of the entry: the operators' status, metrics, and the balancer's health checks.
 */
package org.greengagepass.entry.process

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import org.greengagepass.entry.request.respondJson

/** Routes that read [status] on [decisions]. */
public class StatusRoutes(
    private val status: EntryStatus,
    private val metrics: EntryMetrics,
    private val decisions: CoroutineDispatcher,
) {
    /** Adds the operators' route to [route]. */
    public fun install(route: Route) {
        route.get("/v1/status") {
            call.respondJson(StatusView.serializer(), withContext(decisions) { status.view() })
        }
    }

    /** Adds the metrics page to [route]. */
    public fun installMetrics(route: Route) {
        route.get("/metrics") {
            val sample = withContext(decisions) { status.sample() }
            call.respondText(metrics.page(sample), PROMETHEUS_TEXT)
        }
    }

    /** Adds the health checks, which need no token, to [route]. */
    public fun installHealth(route: Route) {
        route.get("/health/live") { call.respondText("live\n") }
        route.get("/health/ready") {
            val reasons = withContext(decisions) { status.notReadyReasons() }
            if (reasons.isEmpty()) {
                call.respondText("ready\n")
            } else {
                val text = "not ready: ${reasons.joinToString("; ")}\n"
                call.respondText(text, status = HttpStatusCode.ServiceUnavailable)
            }
        }
    }

    private companion object {
        private val PROMETHEUS_TEXT = ContentType.parse("text/plain; version=0.0.4; charset=utf-8")
    }
}
