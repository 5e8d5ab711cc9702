/*
 * Passes announcements of upstreams to admission and keeps the list of announced services for heartbeats.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.RequestAdmission
import org.greengagepass.core.process.SlotChanges
import org.greengagepass.protocol.connection.ServiceState
import org.greengagepass.services.process.UpstreamAnnouncement

/** Announced upstreams, whose slots [admission] manages. */
internal class AnnouncedUpstreams(
    private val admission: RequestAdmission,
) {
    private val services = LinkedHashSet<ServiceName>()

    /** Applies the announcement of an upstream. */
    fun announce(
        announcement: UpstreamAnnouncement,
        now: Timestamp,
    ): SlotChanges {
        services += announcement.service
        return admission.announce(
            service = announcement.service,
            address = announcement.address,
            slots = announcement.slots,
            isDraining = announcement.leaving,
            now = now,
        )
    }

    /** Sends no requests to the unreachable or draining upstream at [address] until it announces itself again. */
    fun disable(
        service: ServiceName,
        address: String,
        now: Timestamp,
    ): SlotChanges = admission.announce(service, address, slots = 0, isDraining = true, now = now)

    /** Returns the state of all announced services. */
    fun states(now: Timestamp): List<ServiceState> =
        services.mapNotNull { service ->
            admission.stateOf(service, now)?.let { ServiceState(service, it.freeSlots, it.queueLength, it.isDraining) }
        }

    /** Removes services without a valid announcement. */
    fun dropExpired(now: Timestamp) {
        services.removeIf { admission.stateOf(it, now) == null }
    }
}
