/*
 * All requests of one entry. Combines the state machine of each request with the attempts in flight, so that the
 * caller only has to pass messages on. Every event returns the actions that follow from it, in order.
 */
package org.greengagepass.core.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentClock
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.AnswerMatch
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.EndedAttempt
import org.greengagepass.core.connection.InFlightRequests
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import java.util.TreeSet
import kotlin.random.Random

/**
 * Requests of one entry. [policyOf] returns the policy of a service, the same object for each call. Not safe for use
 * by several threads at once.
 */
public class EntryRequests(
    private val random: Random,
    private val policyOf: (ServiceName) -> RequestPolicy,
) {
    private val requests = HashMap<RequestId, RequestAttempts>()
    private val inFlight = InFlightRequests()
    private val clocks = HashMap<AgentIdentity, AgentClock>()
    private val timers = RequestTimers()

    /** Number of requests without an outcome. */
    public val size: Int
        get() = requests.size

    /** Time at which [timeReached] is due next, or null if no request is in progress. */
    public val nextDeadline: Timestamp?
        get() = timers.earliest()

    /** Handles a heartbeat of [agent]. Requests are dispatched to an agent only after its first heartbeat. */
    public fun heartbeat(
        agent: AgentIdentity,
        clock: AgentClock,
    ) {
        clocks[agent] = clock
    }

    /** Starts the [request] of a caller. Has no effect if a request with the same identifier is in progress. */
    public fun submit(
        request: RequestDescription,
        now: Timestamp,
    ): List<EntryAction> {
        if (request.requestId in requests) {
            return emptyList()
        }
        val attempts = RequestAttempts(request, policyOf(request.service))
        requests[request.requestId] = attempts
        return actionsFor(attempts, attempts.start(now, random, inFlight.size), now)
    }

    /** Handles the answer of [agent] to the attempt [wireId]. */
    public fun answered(
        wireId: RequestId,
        agent: AgentIdentity,
        outcome: RequestOutcome,
        now: Timestamp,
    ): List<EntryAction> {
        val attempt = AttemptId.fromWireId(wireId) ?: return emptyList()
        return when (val match = inFlight.answered(attempt, agent, outcome)) {
            is AnswerMatch.Matched -> ended(listOf(match.ended), now)
            is AnswerMatch.Dropped -> emptyList()
        }
    }

    /**
     * Handles the loss of the connection to [agent]. The caller must update the routers first, so that no further
     * attempt is sent to this agent.
     */
    public fun connectionLost(
        agent: AgentIdentity,
        now: Timestamp,
    ): List<EntryAction> {
        clocks.remove(agent)
        return inFlight.connectionLost(agent).flatMap { attempt ->
            requests[attempt.requestId]?.let { actionsFor(it, it.connectionLost(agent, now, random), now) }.orEmpty()
        }
    }

    /** Handles a new connection of [agent], whether its first or a later one. */
    public fun connected(
        agent: AgentIdentity,
        now: Timestamp,
    ): List<EntryAction> {
        clocks.keys.removeIf { it.host == agent.host && it.incarnation < agent.incarnation }
        val reconnection = inFlight.reconnected(agent)
        val waiting =
            reconnection.inquiries
                .mapNotNull { inquiry ->
                    AttemptId.fromWireId(inquiry.requestId)
                }.flatMap { attempt ->
                    requests[attempt.requestId]?.let { actionsFor(it, it.reconnected(agent), now) }.orEmpty()
                }
        val inquire = EntryAction.Inquire(agent, reconnection.inquiries).takeIf { it.inquiries.isNotEmpty() }
        return ended(reconnection.ended, now) + waiting + listOfNotNull(inquire)
    }

    /** Handles the answers of [agent] to inquiries. */
    public fun inquiryAnswered(
        agent: AgentIdentity,
        results: List<InquiryResult>,
        now: Timestamp,
    ): List<EntryAction> = ended(inFlight.inquiryAnswered(agent, results), now)

    /** Handles all deadlines and timers that are due at [now]. */
    public fun timeReached(now: Timestamp): List<EntryAction> =
        ended(inFlight.expire(now), now) +
            timers.due(now).flatMap { requestId ->
                requests[requestId]?.let { actionsFor(it, it.timeReached(now, random), now) }.orEmpty()
            }

    private fun ended(
        attempts: List<EndedAttempt>,
        now: Timestamp,
    ): List<EntryAction> =
        attempts.flatMap { ended ->
            requests[ended.attempt.requestId]
                ?.let {
                    actionsFor(
                        it,
                        it.attemptEnded(ended, now, random),
                        now,
                    )
                }.orEmpty()
        }

    private fun actionsFor(
        attempts: RequestAttempts,
        decision: RequestDecision,
        now: Timestamp,
    ): List<EntryAction> {
        val request = attempts.request
        return when (decision) {
            is RequestDecision.Ignore -> emptyList()
            is RequestDecision.Wait -> {
                timers.set(request.requestId, decision.until)
                emptyList()
            }
            is RequestDecision.Dispatch -> dispatch(request, decision, now)
            is RequestDecision.AnswerCaller -> {
                requests.remove(request.requestId)
                timers.remove(request.requestId)
                inFlight.abandon(AttemptId(request.requestId, attempts.attemptsMade))
                listOf(EntryAction.Answer(request.requestId, decision.outcome))
            }
        }
    }

    private fun dispatch(
        request: RequestDescription,
        decision: RequestDecision.Dispatch,
        now: Timestamp,
    ): List<EntryAction> {
        val attempt = decision.attempt
        inFlight.abandon(attempt.copy(number = attempt.number - 1))
        val clock = clocks[decision.agent] ?: return ended(listOf(EndedAttempt(attempt, NOT_CONNECTED)), now)
        val deadlineAgentClock = clock.deadlineInAgentClock(decision.deadline, now)
        inFlight.dispatched(attempt, decision.agent, decision.deadline, deadlineAgentClock)
        timers.set(request.requestId, request.deadline)
        return listOf(EntryAction.Dispatch(request, attempt, decision.agent, deadlineAgentClock))
    }
}

/** An action that the entry carries out for its requests. */
public sealed class EntryAction {
    /** Send [attempt] to [agent], identified by [AttemptId.wireId]. */
    public data class Dispatch(
        val request: RequestDescription,
        val attempt: AttemptId,
        val agent: AgentIdentity,
        val deadlineAgentClock: Timestamp,
    ) : EntryAction()

    /** Send [outcome] to the caller of [requestId]. */
    public data class Answer(
        val requestId: RequestId,
        val outcome: RequestOutcome,
    ) : EntryAction()

    /** Ask [agent] about attempts that were sent on an earlier connection. */
    public data class Inquire(
        val agent: AgentIdentity,
        val inquiries: List<Inquiry>,
    ) : EntryAction()
}

private val NOT_CONNECTED =
    RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, "the agent is not connected, so nothing was sent")

/** The next timer of each request, ordered by time. */
private class RequestTimers {
    private val times = HashMap<RequestId, Timestamp>()
    private val ordered = TreeSet(compareBy<Pair<Timestamp, RequestId>>({ it.first }, { it.second.value }))

    fun earliest(): Timestamp? = if (ordered.isEmpty()) null else ordered.first().first

    fun set(
        requestId: RequestId,
        time: Timestamp,
    ) {
        remove(requestId)
        times[requestId] = time
        ordered.add(time to requestId)
    }

    fun remove(requestId: RequestId) {
        times.remove(requestId)?.let { ordered.remove(it to requestId) }
    }

    /** Removes and returns the requests whose timer has expired at [now]. */
    fun due(now: Timestamp): List<RequestId> {
        val due = ordered.headSet(now.plusMillis(1) to RequestId("")).map { it.second }
        due.forEach { remove(it) }
        return due
    }
}
