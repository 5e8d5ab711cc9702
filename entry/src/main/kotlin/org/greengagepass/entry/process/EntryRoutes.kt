/*
 * All calls of the HTTP interface.
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

/** The calls on [parts]; [requests] carries out those of callers. */
public class EntryRoutes(
    private val parts: EntryParts,
    private val status: EntryStatus,
    private val requests: RequestService,
    private val metrics: EntryMetrics,
    private val decisions: CoroutineDispatcher,
) {
    /** Adds all routes to [route]. */
    public fun install(route: Route) {
        val configuration = parts.configuration
        val tasks = TaskListRoutes(configuration, parts.partitions, parts.hub, decisions, parts.clock)
        val statusRoutes = StatusRoutes(status, metrics, decisions)
        CallerRoutes(configuration, requests, decisions, parts.clock).install(route)
        TaskRoutes(configuration, parts.partitions, decisions, parts.clock).install(route)
        tasks.installForCallers(route)
        statusRoutes.installHealth(route)
        statusRoutes.installMetrics(route)
        route.operatorRoutes(parts.settings.token) {
            AdministrationRoutes(configuration, decisions).install(this)
            WorkerRoutes(
                hub = parts.hub,
                decisions = decisions,
                isOut = { configuration.view.isOut(it) },
                isQuarantined = { host ->
                    val partition = parts.partitions.of(host)
                    if (partition.isOwned) partition.placement.isQuarantined(host) else null
                },
            ).install(this)
            tasks.install(this)
            statusRoutes.install(this)
        }
    }
}
