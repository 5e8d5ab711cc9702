/*
 * Decides about requests: which dispatch is accepted, which waits for a slot, which goes to which upstream, and which
 * entry gets which answer. It uses neither sockets nor a clock. All times are readings of the agent's clock.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.DispatchDecision
import org.greengagepass.core.connection.HandledRequests
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.connection.StartDecision
import org.greengagepass.core.process.AdmissionRefusal
import org.greengagepass.core.process.RequestAdmission
import org.greengagepass.core.process.SlotChanges
import org.greengagepass.core.process.SlotGranted
import org.greengagepass.core.process.SlotRequest
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.EntryMessage.Dispatch
import org.greengagepass.protocol.connection.ServiceState
import org.greengagepass.services.process.UpstreamAnnouncement

/** Action for a request. */
internal sealed class RequestAction {
    /** Send [outcome] to [entry]. */
    data class Answer(
        val entry: String,
        val requestId: RequestId,
        val outcome: RequestOutcome,
    ) : RequestAction()

    /** Send [dispatch] to the upstream at [address] and report the outcome. */
    data class Call(
        val address: String,
        val dispatch: Dispatch,
    ) : RequestAction()
}

/** Decides about the requests of one agent. */
internal class RequestHandler(
    private val handled: HandledRequests = HandledRequests(),
    private val admission: RequestAdmission = RequestAdmission(),
) {
    private val pending = PendingRequests(handled)
    private val upstreams = AnnouncedUpstreams(admission)

    /** Number of requests that wait or run at an upstream. */
    val unfinished: Int get() = handled.unfinished

    /** When true, new requests are refused because the failure domain is out of service. */
    var failureDomainOut: Boolean = false

    /** Refuses new requests from now on; accepted ones continue. */
    fun startDraining() = handled.startDraining()

    /** Handles [dispatch] of [entry]. */
    fun receive(
        entry: String,
        dispatch: Dispatch,
        now: Timestamp,
    ): List<RequestAction> {
        val refusal = if (failureDomainOut) FAILURE_DOMAIN_OUT else null
        return when (val decision = handled.receive(dispatch.requestId, dispatch.deadlineAgentClock, now, refusal)) {
            is DispatchDecision.Accept -> accept(entry, dispatch, now)
            is DispatchDecision.Refuse -> listOf(RequestAction.Answer(entry, dispatch.requestId, decision.outcome))
            is DispatchDecision.ResendAnswer ->
                listOf(
                    RequestAction.Answer(entry, dispatch.requestId, decision.outcome),
                )
            is DispatchDecision.Ignore -> emptyList()
        }
    }

    /** Handles the [outcome] of [dispatch] at the upstream at [address]. */
    fun completed(
        address: String,
        dispatch: Dispatch,
        outcome: RequestOutcome,
        now: Timestamp,
    ): List<RequestAction> {
        val disabled =
            if (outcome is RequestOutcome.NotRun && outcome.code != ResultCode.OVERLOADED) {
                carryOut(upstreams.disable(dispatch.service, address, now), now)
            } else {
                emptyList()
            }
        val ended = pending.end(dispatch.requestId, outcome)
        return disabled + ended + carryOut(admission.complete(dispatch.requestId, now), now)
    }

    /** Handles the announcement of an upstream. */
    fun announce(
        announcement: UpstreamAnnouncement,
        now: Timestamp,
    ): List<RequestAction> = carryOut(upstreams.announce(announcement, now), now)

    /** Answers inquiries of [entry] about requests of an earlier connection. Their later answers go to [entry]. */
    fun inquire(
        entry: String,
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> {
        val results = handled.inquire(inquiries, now)
        results.filterIsInstance<InquiryResult.Running>().forEach { pending.redirect(it.requestId, entry) }
        return results
    }

    /** Ends requests that waited too long and removes expired state. Called every second. */
    fun tick(now: Timestamp): List<RequestAction> {
        val advanced = carryOut(admission.advance(now), now)
        val expired = handled.expire(now).flatMap { pending.answer(it.requestId, it.outcome) }
        upstreams.dropExpired(now)
        return advanced + expired
    }

    /** Returns the state of the services for a heartbeat. */
    fun services(now: Timestamp): List<ServiceState> = upstreams.states(now)

    private fun accept(
        entry: String,
        dispatch: Dispatch,
        now: Timestamp,
    ): List<RequestAction> {
        pending.add(entry, dispatch)
        val request =
            SlotRequest(dispatch.requestId, dispatch.service, dispatch.deadlineAgentClock, dispatch.priority)
        return admission
            .offer(
                request,
                now,
            ).fold({ pending.end(dispatch.requestId, it.outcome()) }, { carryOut(it, now) })
    }

    private fun carryOut(
        changes: SlotChanges,
        now: Timestamp,
    ): List<RequestAction> =
        changes.refused.flatMap { pending.end(it.requestId, it.refusal.outcome()) } +
            changes.granted.flatMap { start(it, now) }

    private fun start(
        grant: SlotGranted,
        now: Timestamp,
    ): List<RequestAction> {
        val dispatch = pending.dispatch(grant.requestId)
        val decision = handled.start(grant.requestId, now)
        if (dispatch != null && decision is StartDecision.Start) {
            return listOf(RequestAction.Call(grant.address, dispatch))
        }
        val refused = (decision as? StartDecision.Refuse)?.let { pending.answer(grant.requestId, it.outcome) }.orEmpty()
        return refused + carryOut(admission.complete(grant.requestId, now), now)
    }
}

private val FAILURE_DOMAIN_OUT = RequestOutcome.NotRun(ResultCode.FAILURE_DOMAIN_OUT, "the failure domain is out")

private fun AdmissionRefusal.outcome() = RequestOutcome.NotRun(code, detail)
