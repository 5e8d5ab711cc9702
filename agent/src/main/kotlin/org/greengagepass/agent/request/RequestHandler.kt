/*
 * Decides on requests: what is taken, what waits for a slot, what goes to which upstream and what is answered. It
 * has neither sockets nor a clock. All times are of the agent's clock.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.DispatchDecision
import org.greengagepass.core.connection.HandledRequests
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.connection.StartDecision
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.platform.process.Announcement
import org.greengagepass.protocol.connection.EntryMessage.Dispatch
import org.greengagepass.protocol.connection.ServiceState

/** What to do about a request. */
internal sealed class RequestAction {
    /** Send [outcome] to [entry]. */
    data class Answer(
        val entry: String,
        val requestId: RequestId,
        val outcome: RequestOutcome,
    ) : RequestAction()

    /** Send [dispatch] to the upstream at [address], and report the outcome. */
    data class Call(
        val address: String,
        val dispatch: Dispatch,
    ) : RequestAction()
}

/** Decides on the requests of one agent. Up to [queueMaximum] requests of a service wait for a slot. */
internal class RequestHandler(
    private val queueMaximum: Int = QUEUE_MAXIMUM,
    private val handled: HandledRequests = HandledRequests(),
) {
    private val registry = UpstreamRegistry()
    private val queues = HashMap<ServiceName, ArrayDeque<Dispatch>>()
    private val origins = HashMap<RequestId, String>()
    private val serviceTimes = HashMap<ServiceName, MovingAverage>()

    /** Requests that wait or are with an upstream. */
    val unfinished: Int get() = handled.unfinished

    /** When set, new requests are refused since the failure domain is out. */
    var failureDomainOut: Boolean = false

    /** Refuses new requests from now on; those taken before go on. */
    fun startDraining() = handled.startDraining()

    /** [dispatch] came from [entry]. */
    fun receive(
        entry: String,
        dispatch: Dispatch,
        now: Timestamp,
    ): List<RequestAction> {
        val refusal = refusal(dispatch, now)
        return when (val decision = handled.receive(dispatch.requestId, dispatch.deadlineAgentClock, now, refusal)) {
            is DispatchDecision.Take -> take(entry, dispatch, now)
            is DispatchDecision.Refuse -> listOf(RequestAction.Answer(entry, dispatch.requestId, decision.outcome))
            is DispatchDecision.AnswerAgain -> listOf(RequestAction.Answer(entry, dispatch.requestId, decision.outcome))
            is DispatchDecision.Ignore -> emptyList()
        }
    }

    /** The upstream at [address] has ended [dispatch] with [outcome] after [tookMillis]. */
    fun completed(
        address: String,
        dispatch: Dispatch,
        outcome: RequestOutcome,
        tookMillis: Long,
        now: Timestamp,
    ): List<RequestAction> {
        registry.release(address)
        when (outcome) {
            is RequestOutcome.Ran -> serviceTime(dispatch.service).add(tookMillis)
            is RequestOutcome.NotRun -> if (outcome.code != ResultCode.OVERLOADED) registry.unreachable(address, now)
            is RequestOutcome.Unknown -> Unit
        }
        return end(dispatch.requestId, outcome) + startQueued(dispatch.service, now)
    }

    /** An upstream announced itself. */
    fun announce(
        announcement: Announcement,
        now: Timestamp,
    ): List<RequestAction> {
        registry.announce(announcement, now)
        return startQueued(announcement.service, now)
    }

    /** [entry] asks about requests that it dispatched on an earlier connection; later answers go to it. */
    fun inquire(
        entry: String,
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> {
        val results = handled.inquire(inquiries, now)
        results.filterIsInstance<InquiryResult.Running>().forEach { origins[it.requestId] = entry }
        return results
    }

    /** To be called every second: ends what waited too long and forgets what no longer matters. */
    fun tick(now: Timestamp): List<RequestAction> {
        val expired = handled.expire(now).flatMap { answer(it.requestId, it.outcome) }
        val started = queues.keys.toList().flatMap { startQueued(it, now) }
        registry.expire(now)
        return expired + started
    }

    /** State of the services for a heartbeat. */
    fun services(now: Timestamp): List<ServiceState> =
        registry.allSlots(now).map {
            ServiceState(it.service, it.free, queues[it.service]?.size ?: 0, it.leaving)
        }

    private fun refusal(
        dispatch: Dispatch,
        now: Timestamp,
    ): RequestOutcome.NotRun? {
        val slots = registry.slots(dispatch.service, now)
        val queueLength = queues[dispatch.service]?.size ?: 0
        return when {
            failureDomainOut -> notRun(ResultCode.FAILURE_DOMAIN_OUT, "the failure domain is out")
            slots == null -> notRun(ResultCode.NO_UPSTREAM, "no upstream of ${dispatch.service.value} on this host")
            slots.leaving -> notRun(ResultCode.DRAINING, "the upstream is leaving")
            slots.free > 0 -> null
            queueLength >= queueMaximum -> notRun(ResultCode.OVERLOADED, "$queueLength requests wait")
            waitMillis(dispatch.service, queueLength, slots.total) > dispatch.deadlineAgentClock.millisSince(now) ->
                notRun(ResultCode.OVERLOADED, "not done by the deadline behind $queueLength requests")
            else -> null
        }
    }

    /** Expected time until a request behind [queueLength] others is done. */
    private fun waitMillis(
        service: ServiceName,
        queueLength: Int,
        slots: Int,
    ): Long = serviceTime(service).value * (queueLength + slots) / maxOf(1, slots)

    private fun take(
        entry: String,
        dispatch: Dispatch,
        now: Timestamp,
    ): List<RequestAction> {
        origins[dispatch.requestId] = entry
        queues.getOrPut(dispatch.service) { ArrayDeque() }.addLast(dispatch)
        return startQueued(dispatch.service, now)
    }

    private fun startQueued(
        service: ServiceName,
        now: Timestamp,
    ): List<RequestAction> {
        val queue = queues[service] ?: return emptyList()
        val actions = mutableListOf<RequestAction>()
        while (queue.isNotEmpty()) {
            val address = registry.acquire(service, now) ?: break
            actions += startAt(address, queue.removeFirst(), now)
        }
        return actions + refuseWithoutUpstream(service, queue, now)
    }

    private fun startAt(
        address: String,
        dispatch: Dispatch,
        now: Timestamp,
    ): List<RequestAction> =
        when (val decision = handled.start(dispatch.requestId, now)) {
            is StartDecision.Start -> listOf(RequestAction.Call(address, dispatch))
            is StartDecision.Refuse -> {
                registry.release(address)
                answer(dispatch.requestId, decision.outcome)
            }
            is StartDecision.Skip -> {
                registry.release(address)
                emptyList()
            }
        }

    /** What waits for a service whose upstreams are gone has not run, and is tried elsewhere sooner. */
    private fun refuseWithoutUpstream(
        service: ServiceName,
        queue: ArrayDeque<Dispatch>,
        now: Timestamp,
    ): List<RequestAction> {
        if (queue.isEmpty()) return emptyList()
        val slots = registry.slots(service, now)
        if (slots != null && !slots.leaving) return emptyList()
        val code = if (slots == null) ResultCode.NO_UPSTREAM else ResultCode.DRAINING
        val refused = queue.toList()
        queue.clear()
        return refused.flatMap { end(it.requestId, notRun(code, "the upstream left while the request waited")) }
    }

    private fun end(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): List<RequestAction> = handled.end(requestId, outcome)?.let { answer(requestId, it) } ?: emptyList()

    private fun answer(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): List<RequestAction> =
        origins.remove(requestId)?.let { listOf(RequestAction.Answer(it, requestId, outcome)) } ?: emptyList()

    private fun serviceTime(service: ServiceName) = serviceTimes.getOrPut(service) { MovingAverage() }

    private fun notRun(
        code: ResultCode,
        detail: String,
    ) = RequestOutcome.NotRun(code, detail)

    companion object {
        /** Requests of a service that wait for a slot; two for each of 8 slots. */
        const val QUEUE_MAXIMUM: Int = 16
    }
}

private class MovingAverage {
    var value: Long = 0
        private set

    fun add(sample: Long) {
        value += (sample - value) / WEIGHT
    }

    private companion object {
        /** Samples over which the average moves. */
        private const val WEIGHT = 8
    }
}
