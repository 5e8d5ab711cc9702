/*
 * One version of the configuration that operators have published for jobs: which requests go to which queue, and
 * which failure domains are out of service.
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

/** The route of a request, and the part of its path after the route's prefix. */
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

    /** Returns the route at [hostName] with the longest prefix of [path], or null if there is none. */
    public fun route(
        hostName: String,
        path: String,
    ): RoutedPath? =
        routesByHostName[hostName]
            .orEmpty()
            .filter { path.startsWith(it.pathPrefix) }
            .maxByOrNull { it.pathPrefix.length }
            ?.let { RoutedPath(it, path.removePrefix(it.pathPrefix)) }

    /** Returns the part that the scheduler needs. */
    public fun forScheduler(): JobConfiguration =
        JobConfiguration(version, routes.associate { it.queue.name to it.queue }, failureDomainsOut)

    private companion object {
        /** Default maximum size of a request's body, in bytes. */
        private const val BODY_BYTES_MAXIMUM = 262_144
    }
}
