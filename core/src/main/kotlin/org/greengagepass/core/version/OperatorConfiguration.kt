/*
 * One version of what operators have published for jobs: which requests go to which queue, and which failure
 * domains are out.
 */
package org.greengagepass.core.version

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.process.jobs.JobConfiguration
import org.greengagepass.core.process.jobs.QueueDefinition

/** Requests to [hostName] whose path begins with [pathPrefix] go to [queue]. */
public data class JobRoute(
    val hostName: String,
    val pathPrefix: String,
    val queue: QueueDefinition,
    /** Longest time that a caller waits, in milliseconds. */
    val timeoutMillis: Long,
)

/** A request's way: its route, and what follows the route's prefix. */
public data class RoutedPath(
    val route: JobRoute,
    val rest: String,
)

/** The configuration in force. */
public data class OperatorConfiguration(
    val version: Long,
    val routes: List<JobRoute>,
    val failureDomainsOut: Set<FailureDomainName> = emptySet(),
    val bodyBytesMaximum: Int = BODY_BYTES_MAXIMUM,
) {
    private val routesByHostName = routes.groupBy { it.hostName }

    /** The route with the longest prefix of [path] at [hostName], or null. */
    public fun route(
        hostName: String,
        path: String,
    ): RoutedPath? =
        routesByHostName[hostName]
            .orEmpty()
            .filter { path.startsWith(it.pathPrefix) }
            .maxByOrNull { it.pathPrefix.length }
            ?.let { RoutedPath(it, path.removePrefix(it.pathPrefix)) }

    /** The part that the scheduler needs. */
    public fun forScheduler(): JobConfiguration =
        JobConfiguration(version, routes.associate { it.queue.name to it.queue }, failureDomainsOut)

    private companion object {
        /** Limit of a request's body while the operators have set none, in bytes. */
        private const val BODY_BYTES_MAXIMUM = 262_144
    }
}
