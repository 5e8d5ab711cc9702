/*
 * All routes of the HTTP interface.
 */
package org.greengagepass.entry.process

import io.ktor.server.routing.Route
import kotlinx.coroutines.CoroutineDispatcher
import org.greengagepass.entry.connection.WorkerRoutes
import org.greengagepass.entry.request.CallerRoutes
import org.greengagepass.entry.request.RequestService
import org.greengagepass.entry.request.TaskListRoutes
import org.greengagepass.entry.request.TaskRoutes
import org.greengagepass.entry.version.AdministrationRoutes

/** The routes that use [components]. [requests] executes the requests of callers. */
public class EntryRoutes(
    private val components: EntryComponents,
    private val status: EntryStatus,
    private val requests: RequestService,
    private val metrics: EntryMetrics,
    private val decisions: CoroutineDispatcher,
) {
    /** Adds all routes to [route]. */
    public fun install(route: Route) {
        val configuration = components.configuration
        val tasks = TaskListRoutes(configuration, components.partitions, components.hub, decisions, components.clock)
        val statusRoutes = StatusRoutes(status, metrics, decisions)
        CallerRoutes(configuration, requests, decisions, components.clock).install(route)
        TaskRoutes(configuration, components.partitions, decisions, components.clock).install(route)
        tasks.installForCallers(route)
        statusRoutes.installHealth(route)
        statusRoutes.installMetrics(route)
        route.operatorRoutes(components.settings.token) {
            AdministrationRoutes(configuration, decisions).install(this)
            WorkerRoutes(
                hub = components.hub,
                decisions = decisions,
                isOut = { configuration.view.isOut(it) },
                isQuarantined = { host ->
                    val partition = components.partitions.of(host)
                    if (partition.isOwned) partition.placement.isQuarantined(host) else null
                },
            ).install(this)
            tasks.install(this)
            statusRoutes.install(this)
        }
    }
}
