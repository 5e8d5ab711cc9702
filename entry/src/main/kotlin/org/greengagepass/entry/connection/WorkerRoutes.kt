/*
 * The HTTP call by which operators list the workers whose agents are connected to this entry.
 */
package org.greengagepass.entry.connection

import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.Serializable
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.entry.request.pageRequest
import org.greengagepass.entry.request.respondPage
import org.greengagepass.protocol.connection.ServiceState

/** A worker as its agent last reported it. [quarantined] is absent if another entry schedules the worker. */
@Serializable
public data class WorkerView(
    val host: String,
    val failureDomain: String,
    val rack: String,
    val failureDomainOut: Boolean,
    val capacity: Resources,
    val free: Resources,
    val services: List<ServiceState>,
    val tasks: Int,
    val draining: Boolean,
    val quarantined: Boolean? = null,
)

/** The route that lists workers. It reads [hub] on [decisions]. */
public class WorkerRoutes(
    private val hub: AgentHub,
    private val decisions: CoroutineDispatcher,
    private val isOut: (FailureDomainName) -> Boolean,
    private val isQuarantined: (HostId) -> Boolean?,
) {
    /** Adds the route to [route]. */
    public fun install(route: Route) {
        route.get("/v1/workers") { call.list() }
    }

    private suspend fun ApplicationCall.list() {
        val page =
            pageRequest().map { page ->
                withContext(decisions) {
                    page.of(hub.all.asSequence().mapNotNull(::viewOf), WorkerView::host)
                }
            }
        respondPage(WorkerView.serializer(), page)
    }

    /** The worker of [session]; null before the first heartbeat. */
    private fun viewOf(session: AgentSession): WorkerView? =
        session.heartbeat?.let { heartbeat ->
            WorkerView(
                host = session.hello.host.value,
                failureDomain = session.hello.failureDomain.value,
                rack = session.hello.rack.value,
                failureDomainOut = isOut(session.hello.failureDomain),
                capacity = heartbeat.capacity,
                free = heartbeat.free,
                services = heartbeat.services,
                tasks = heartbeat.tasks.size,
                draining = heartbeat.draining,
                quarantined = isQuarantined(session.hello.host),
            )
        }
}
