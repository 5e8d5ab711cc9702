/*
 * Joins the decisions of the core on requests: which dispatch is taken, which waits for a slot, which goes to which
 * upstream, and what is answered to whom. It has neither sockets nor a clock. All times are of the agent's clock.
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

/** Decides on the requests of one agent. */
internal class RequestHandler(
    private val handled: HandledRequests = HandledRequests(),
    private val admission: RequestAdmission = RequestAdmission(),
) {
    private val pending = PendingRequests(handled)
    private val upstreams = AnnouncedUpstreams(admission)

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
        val refusal = if (failureDomainOut) DOMAIN_OUT else null
        return when (val decision = handled.receive(dispatch.requestId, dispatch.deadlineAgentClock, now, refusal)) {
            is DispatchDecision.Accept -> take(entry, dispatch, now)
            is DispatchDecision.Refuse -> listOf(RequestAction.Answer(entry, dispatch.requestId, decision.outcome))
            is DispatchDecision.ResendAnswer ->
                listOf(
                    RequestAction.Answer(entry, dispatch.requestId, decision.outcome),
                )
            is DispatchDecision.Ignore -> emptyList()
        }
    }

    /** The upstream at [address] has ended [dispatch] with [outcome]. */
    fun completed(
        address: String,
        dispatch: Dispatch,
        outcome: RequestOutcome,
        now: Timestamp,
    ): List<RequestAction> {
        val closed =
            if (outcome is RequestOutcome.NotRun && outcome.code != ResultCode.OVERLOADED) {
                carryOut(upstreams.close(dispatch.service, address, now), now)
            } else {
                emptyList()
            }
        val ended = pending.end(dispatch.requestId, outcome)
        return closed + ended + carryOut(admission.complete(dispatch.requestId, now), now)
    }

    /** An upstream announced itself. */
    fun announce(
        announcement: UpstreamAnnouncement,
        now: Timestamp,
    ): List<RequestAction> = carryOut(upstreams.announce(announcement, now), now)

    /** [entry] asks about requests that it dispatched on an earlier connection; later answers go to it. */
    fun inquire(
        entry: String,
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> {
        val results = handled.inquire(inquiries, now)
        results.filterIsInstance<InquiryResult.Running>().forEach { pending.redirect(it.requestId, entry) }
        return results
    }

    /** To be called every second: ends what waited too long and forgets what no longer matters. */
    fun tick(now: Timestamp): List<RequestAction> {
        val advanced = carryOut(admission.advance(now), now)
        val expired = handled.expire(now).flatMap { pending.answer(it.requestId, it.outcome) }
        upstreams.dropExpired(now)
        return advanced + expired
    }

    /** State of the services for a heartbeat. */
    fun services(now: Timestamp): List<ServiceState> = upstreams.states(now)

    private fun take(
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

private val DOMAIN_OUT = RequestOutcome.NotRun(ResultCode.FAILURE_DOMAIN_OUT, "the failure domain is out")

private fun AdmissionRefusal.outcome() = RequestOutcome.NotRun(code, detail)
