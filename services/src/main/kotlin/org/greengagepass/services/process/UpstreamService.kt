/*
 * Upstreams on an agent's host. They announce themselves and answer requests over HTTP.
 */
package org.greengagepass.services.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.RequestOutcome

/** Announcement of an upstream. It expires after a few seconds unless it is repeated. */
@Serializable
public data class UpstreamAnnouncement(
    val service: ServiceName,
    val address: String,
    val slots: Int,
    val leaving: Boolean = false,
)

/** Access to the upstreams of one host. */
public interface UpstreamService {
    /** Sends a request to the upstream at [address] and waits up to [timeoutMillis] for the whole answer. */
    public suspend fun call(
        address: String,
        request: UpstreamRequest,
        timeoutMillis: Long,
    ): RequestOutcome
}

/** A request for an upstream. */
public data class UpstreamRequest(
    val requestId: RequestId,
    val traceparent: String,
    val service: ServiceName,
    val operation: WorkKind,
    val body: String,
)
