/*
 * Admission of requests to the slots of the upstreams on a host. A request gets a free slot, waits in a short queue, or
 * is refused, which proves that it did not run. Announcements expire after a few seconds, so an upstream that stops
 * announcing itself gets no new requests.
 */
package org.greengagepass.core.process

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority

/** A request for a slot. The deadline is a reading of the agent's clock. */
public data class SlotRequest(
    val requestId: RequestId,
    val service: ServiceName,
    val deadlineAgentClock: Timestamp,
    val priority: Priority = Priority.NORMAL,
)

/** Free slots and queue of the upstreams of a service. */
public data class SlotState(
    val freeSlots: Int,
    val queueLength: Int,
    val isDraining: Boolean,
)

/** A request that holds a slot of the upstream at [address] and is to be sent there. */
public data class SlotGranted(
    val requestId: RequestId,
    val address: String,
)

/** A queued request that will not run. */
public data class SlotRefused(
    val requestId: RequestId,
    val refusal: AdmissionRefusal,
)

/** Results of a change: requests to send now, and queued requests that were refused. */
public data class SlotChanges(
    val granted: List<SlotGranted> = emptyList(),
    val refused: List<SlotRefused> = emptyList(),
)

/** Admission of requests to all upstreams of one host. All times are readings of the agent's clock. */
public class RequestAdmission(
    private val queueLimit: Int = QUEUE_LIMIT,
) {
    private val upstreams = UpstreamSlots()
    private val queue = ArrayList<SlotRequest>()
    private var draining = false

    /** Handles an announcement of the upstream at [address]; it is valid for [ANNOUNCEMENT_MILLIS]. */
    public fun announce(
        service: ServiceName,
        address: String,
        slots: Int,
        isDraining: Boolean,
        now: Timestamp,
    ): SlotChanges {
        val expiry = now.plusMillis(ANNOUNCEMENT_MILLIS)
        upstreams.announce(AnnouncedUpstream(service, address, slots.coerceAtLeast(0), isDraining, expiry))
        return advance(now)
    }

    /** State of [service] for the heartbeat, or null if no upstream of it is announced. */
    public fun stateOf(
        service: ServiceName,
        now: Timestamp,
    ): SlotState? {
        val announced = upstreams.announced(service, now).ifEmpty { return null }
        return SlotState(
            freeSlots = announced.sumOf { upstreams.freeSlots(it, now) },
            queueLength = queue.count { it.service == service },
            isDraining = announced.all { it.isDraining },
        )
    }

    /**
     * Requests a slot. On success the changes contain the grant of this request, unless it is queued. A queued request
     * of lower priority may be refused in its place.
     */
    public fun offer(
        request: SlotRequest,
        now: Timestamp,
    ): Either<AdmissionRefusal, SlotChanges> =
        either {
            refusalOf(request, now)?.let { raise(it) }
            val earlier = advance(now)
            val displaced = if (queue.size >= queueLimit) displacedBy(request) else null
            val fits = queue.size < queueLimit || displaced != null || upstreams.best(request.service, now) != null
            ensure(fits) { AdmissionRefusal(ResultCode.OVERLOADED, "all slots and the queue are taken") }
            queue.add(request)
            val later = advance(now)
            val refused = displaced?.takeIf { queue.size > queueLimit }?.let { listOf(displace(it)) }.orEmpty()
            SlotChanges(earlier.granted + later.granted, earlier.refused + later.refused + refused)
        }

    /** Handles that the request has ended or is proven not to run; its slot is free. */
    public fun complete(
        requestId: RequestId,
        now: Timestamp,
    ): SlotChanges {
        upstreams.release(requestId)
        return advance(now)
    }

    /** Grants free slots to queued requests and refuses those that can no longer start. */
    public fun advance(now: Timestamp): SlotChanges {
        upstreams.dropExpired(now)
        val refused = queue.mapNotNull { request -> refusalInQueue(request, now) }
        val refusedIds = refused.mapTo(HashSet()) { it.requestId }
        queue.removeIf { it.requestId in refusedIds }
        val granted = queue.sortedBy { it.priority }.mapNotNull { upstreams.take(it, now) }
        val grantedIds = granted.mapTo(HashSet()) { it.requestId }
        queue.removeIf { it.requestId in grantedIds }
        return SlotChanges(granted, refused)
    }

    /** Refuses all further requests; queued and running ones are completed. */
    public fun drain() {
        draining = true
    }

    private fun refusalOf(
        request: SlotRequest,
        now: Timestamp,
    ): AdmissionRefusal? {
        val announced = upstreams.announced(request.service, now)
        return when {
            draining -> AdmissionRefusal(ResultCode.DRAINING, "the agent is stopping")
            request.deadlineAgentClock <= now ->
                AdmissionRefusal(ResultCode.DEADLINE_EXPIRED, "the deadline passed before the request started")
            announced.isEmpty() ->
                AdmissionRefusal(ResultCode.NO_UPSTREAM, "no upstream of ${request.service.value}")
            announced.all { it.isDraining } -> AdmissionRefusal(ResultCode.DRAINING, "the upstream is draining")
            else -> null
        }
    }

    private fun refusalInQueue(
        request: SlotRequest,
        now: Timestamp,
    ): SlotRefused? {
        val refusal =
            when {
                request.deadlineAgentClock <= now ->
                    AdmissionRefusal(ResultCode.DEADLINE_EXPIRED, "the deadline passed in the queue")
                upstreams.announced(request.service, now).all { it.isDraining } ->
                    AdmissionRefusal(ResultCode.DRAINING, "the upstream began to drain while the request was queued")
                else -> null
            }
        return refusal?.let { SlotRefused(request.requestId, it) }
    }

    private fun displacedBy(request: SlotRequest): SlotRequest? =
        queue.maxByOrNull { it.priority }?.takeIf { it.priority > request.priority }

    private fun displace(request: SlotRequest): SlotRefused {
        queue.remove(request)
        val refusal = AdmissionRefusal(ResultCode.OVERLOADED, "displaced by a request of higher priority")
        return SlotRefused(request.requestId, refusal)
    }

    public companion object {
        /** Maximum number of queued requests on a host: as many as the slots of one upstream. */
        public const val QUEUE_LIMIT: Int = 8

        /** How long an announcement is valid. */
        public const val ANNOUNCEMENT_MILLIS: Long = 3_000
    }
}
