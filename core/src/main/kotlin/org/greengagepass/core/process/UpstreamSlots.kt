/*
 * Announced upstreams of one host and the requests that hold their slots.
 */
package org.greengagepass.core.process

import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp

/** The last announcement of an upstream. */
internal data class AnnouncedUpstream(
    val service: ServiceName,
    val address: String,
    val slots: Int,
    val isDraining: Boolean,
    val announcedUntil: Timestamp,
)

/** Slots by upstream. The upstream with the most free slots is used first. */
internal class UpstreamSlots {
    private val upstreams = LinkedHashMap<String, AnnouncedUpstream>()
    private val running = HashMap<RequestId, String>()

    fun announce(upstream: AnnouncedUpstream) {
        upstreams[upstream.address] = upstream
    }

    fun announced(
        service: ServiceName,
        now: Timestamp,
    ): List<AnnouncedUpstream> = upstreams.values.filter { it.service == service && it.announcedUntil > now }

    fun freeSlots(
        upstream: AnnouncedUpstream,
        now: Timestamp,
    ): Int {
        if (upstream.isDraining || upstream.announcedUntil <= now) return 0
        return (upstream.slots - running.values.count { it == upstream.address }).coerceAtLeast(0)
    }

    fun best(
        service: ServiceName,
        now: Timestamp,
    ): AnnouncedUpstream? =
        announced(service, now)
            .filter { freeSlots(it, now) > 0 }
            .maxByOrNull { freeSlots(it, now) }

    fun take(
        request: SlotRequest,
        now: Timestamp,
    ): SlotGranted? {
        val upstream = best(request.service, now) ?: return null
        running[request.requestId] = upstream.address
        return SlotGranted(request.requestId, upstream.address)
    }

    fun release(requestId: RequestId) {
        running.remove(requestId)
    }

    fun dropExpired(now: Timestamp) {
        upstreams.values.removeIf { it.announcedUntil <= now }
    }
}
