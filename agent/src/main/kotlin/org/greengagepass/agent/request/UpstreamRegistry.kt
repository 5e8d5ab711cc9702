/*
 * The upstreams on this host as they announced themselves, and the slots in use at each. An announcement that is
 * not repeated ends after three seconds.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.platform.process.Announcement

private class Upstream(
    var announcement: Announcement,
    var expiresAt: Timestamp,
    var inUse: Int = 0,
) {
    fun admits(now: Timestamp) = !announcement.leaving && now < expiresAt

    fun freeSlots() = announcement.slots - inUse
}

/** Upstreams of one service at one moment. */
internal data class ServiceSlots(
    val service: ServiceName,
    val free: Int,
    val total: Int,
    val leaving: Boolean,
)

/** Upstreams by address. */
internal class UpstreamRegistry {
    private val upstreams = LinkedHashMap<String, Upstream>()

    /** Takes note of [announcement]. A changed slot count holds for later calls. */
    fun announce(
        announcement: Announcement,
        now: Timestamp,
    ) {
        val known = upstreams.getOrPut(announcement.address) { Upstream(announcement, now) }
        known.announcement = announcement
        known.expiresAt = now.plusMillis(ANNOUNCEMENT_MILLIS)
    }

    /** Takes a slot of the least used upstream of [service] and gives its address; null if none is free. */
    fun acquire(
        service: ServiceName,
        now: Timestamp,
    ): String? {
        val best =
            upstreams.entries
                .filter { it.value.announcement.service == service && it.value.admits(now) }
                .filter { it.value.freeSlots() > 0 }
                .maxByOrNull { it.value.freeSlots() }
        best?.let { it.value.inUse++ }
        return best?.key
    }

    /** Gives back a slot of the upstream at [address]. */
    fun release(address: String) {
        upstreams[address]?.let { it.inUse-- }
    }

    /** The upstream at [address] refused a connection: it takes nothing until it announces itself again. */
    fun unreachable(
        address: String,
        now: Timestamp,
    ) {
        upstreams[address]?.let { it.expiresAt = now }
    }

    /** The slots of [service]; null if it never announced itself or all its announcements ended. */
    fun slots(
        service: ServiceName,
        now: Timestamp,
    ): ServiceSlots? = allSlots(now).firstOrNull { it.service == service }

    /** The slots of all services with a valid announcement. */
    fun allSlots(now: Timestamp): List<ServiceSlots> =
        upstreams.values
            .filter { now < it.expiresAt }
            .groupBy { it.announcement.service }
            .map { (service, members) ->
                val admitting = members.filter { it.admits(now) }
                ServiceSlots(
                    service = service,
                    free = admitting.sumOf { maxOf(0, it.freeSlots()) },
                    total = admitting.sumOf { it.announcement.slots },
                    leaving = admitting.isEmpty(),
                )
            }

    /** Drops upstreams whose announcement has ended and that have nothing in progress. */
    fun expire(now: Timestamp) {
        upstreams.values.removeIf { it.expiresAt <= now && it.inUse == 0 }
    }

    companion object {
        /** Time for which an announcement holds, in milliseconds. */
        const val ANNOUNCEMENT_MILLIS: Long = 3_000
    }
}
