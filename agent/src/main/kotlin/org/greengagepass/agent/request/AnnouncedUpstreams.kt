/*
 * Passes announcements on to admission and remembers which services there are, for heartbeats.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.RequestAdmission
import org.greengagepass.core.process.SlotChanges
import org.greengagepass.protocol.connection.ServiceState
import org.greengagepass.services.process.UpstreamAnnouncement

/** Upstreams that announced themselves to [admission]. */
internal class AnnouncedUpstreams(
    private val admission: RequestAdmission,
) {
    private val services = LinkedHashSet<ServiceName>()

    /** An upstream announced itself. */
    fun announce(
        announcement: UpstreamAnnouncement,
        now: Timestamp,
    ): SlotChanges {
        services += announcement.service
        return admission.announce(
            service = announcement.service,
            address = announcement.address,
            slots = announcement.slots,
            leaving = announcement.leaving,
            now = now,
        )
    }

    /** The upstream at [address] can't be reached or is leaving: it gets nothing until it announces itself again. */
    fun close(
        service: ServiceName,
        address: String,
        now: Timestamp,
    ): SlotChanges = admission.announce(service, address, slots = 0, leaving = true, now = now)

    /** State of all announced services. */
    fun states(now: Timestamp): List<ServiceState> =
        services.mapNotNull { service ->
            admission.stateOf(service, now)?.let { ServiceState(service, it.freeSlots, it.queueLength, it.leaving) }
        }

    /** Forgets services without a valid announcement. */
    fun dropExpired(now: Timestamp) {
        services.removeIf { admission.stateOf(it, now) == null }
    }
}
