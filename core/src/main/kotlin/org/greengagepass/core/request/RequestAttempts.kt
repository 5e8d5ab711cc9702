/*
 * The state machine of one request at the entry. At most one attempt is in flight. A further attempt is made only if
 * the previous one provably did not run or the request is idempotent. The caller gets "not run" only if that holds
 * for every attempt.
 */
package org.greengagepass.core.request

import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.EndedAttempt
import kotlin.random.Random

/** What all requests of an entry for one service have in common. */
public class RequestPolicy(
    public val router: Router,
    public val budget: RetryBudget,
    public val shedder: LoadShedder,
) {
    internal fun refusal(
        request: RequestDescription,
        route: Route.To,
        now: Timestamp,
        inFlight: Int,
    ): RequestOutcome.NotRun? = shedder.refusal(request.priority, route.expectedMillis, request.deadline, now, inFlight)
}

/** State machine of the attempts at [request]. Not safe for use by several threads at once. */
public class RequestAttempts(
    public val request: RequestDescription,
    private val policy: RequestPolicy,
) {
    private val triedHosts = LinkedHashSet<HostId>()
    private var mayHaveRun: Boolean = false

    /** Current state of the request. */
    public var state: AttemptsState = AttemptsState.Arrived
        private set

    /** Number of attempts so far; each goes to another host. */
    public val attemptsMade: Int
        get() = triedHosts.size

    /** Decides on the first attempt, given the requests that the entry has [inFlight]. */
    public fun start(
        now: Timestamp,
        random: Random,
        inFlight: Int,
    ): RequestDecision {
        if (state != AttemptsState.Arrived) {
            return RequestDecision.Ignore
        }
        return when (val route = policy.router.route(random, now)) {
            is Route.None -> answer(route.refusal)
            is Route.To -> {
                val refusal = policy.refusal(request, route, now, inFlight)
                if (refusal == null) dispatch(route.agent, now) else answer(refusal)
            }
        }
    }

    /** Handles the end of an attempt. An attempt that is not in flight is ignored. */
    public fun attemptEnded(
        ended: EndedAttempt,
        now: Timestamp,
        random: Random,
    ): RequestDecision {
        val dispatched = state.inFlight()?.takeIf { it.attempt == ended.attempt } ?: return RequestDecision.Ignore
        policy.router.ended(dispatched.agent.host, ended.outcome, dispatched.dispatchedAt, now)
        return afterAttempt(ended.outcome, now, random) ?: answer(ended.outcome)
    }

    /**
     * Handles the loss of the connection to [agent]. An idempotent request is sent to another host; any other request
     * waits for the agent to reconnect.
     */
    public fun connectionLost(
        agent: AgentIdentity,
        now: Timestamp,
        random: Random,
    ): RequestDecision {
        val dispatched = (state as? AttemptsState.Dispatched)?.takeIf { it.agent == agent }
        return if (dispatched == null) {
            RequestDecision.Ignore
        } else {
            policy.router.ended(agent.host, AGENT_LOST, dispatched.dispatchedAt, now)
            afterAttempt(AGENT_LOST, now, random) ?: inquire(dispatched, now)
        }
    }

    /** Handles a new connection of [agent], on which it is asked about the attempt in flight. */
    public fun reconnected(agent: AgentIdentity): RequestDecision {
        val inquiring = (state as? AttemptsState.Inquiring)?.takeIf { it.dispatched.agent == agent }
        return if (inquiring == null) {
            RequestDecision.Ignore
        } else {
            state = inquiring.dispatched
            RequestDecision.Wait(request.deadline)
        }
    }

    /** Handles the end of a [RequestDecision.Wait]. */
    public fun timeReached(
        now: Timestamp,
        random: Random,
    ): RequestDecision {
        val current = state
        return when {
            current is AttemptsState.Answered || current is AttemptsState.Arrived -> RequestDecision.Ignore
            now >= request.deadline -> answer(DEADLINE_PASSED)
            current is AttemptsState.Inquiring && now >= current.until ->
                afterAttempt(AGENT_LOST, now, random) ?: answer(AGENT_LOST)
            current is AttemptsState.Inquiring -> RequestDecision.Wait(current.until)
            else -> RequestDecision.Wait(request.deadline)
        }
    }

    /**
     * Returns the next attempt after one that ended with [outcome], or null if there is none. The budget is checked
     * last, since a permitted retry is charged to it.
     */
    private fun afterAttempt(
        outcome: RequestOutcome,
        now: Timestamp,
        random: Random,
    ): RequestDecision? {
        val retriesMade = triedHosts.size - 1
        val route = policy.router.route(random, now, triedHosts)
        val isRetried =
            route is Route.To &&
                policy.refusal(request, route, now, inFlight = 0) == null &&
                policy.budget.tryRetry(outcome, request.idempotent, retriesMade, request.retryLimit)
        if (!isRetried) {
            return null
        }
        mayHaveRun = mayHaveRun || outcome is RequestOutcome.Unknown
        return dispatch(route.agent, now)
    }

    private fun dispatch(
        agent: AgentIdentity,
        now: Timestamp,
    ): RequestDecision {
        if (triedHosts.isEmpty()) {
            policy.budget.requestStarted()
        }
        triedHosts.add(agent.host)
        val attempt = AttemptId(request.requestId, number = triedHosts.size)
        policy.router.dispatched(agent.host)
        state = AttemptsState.Dispatched(attempt, agent, dispatchedAt = now)
        return RequestDecision.Dispatch(attempt, agent, request.deadline)
    }

    private fun inquire(
        dispatched: AttemptsState.Dispatched,
        now: Timestamp,
    ): RequestDecision {
        val until = minOf(request.deadline, now.plusMillis(RECONNECT_MILLIS))
        state = AttemptsState.Inquiring(dispatched, until)
        return RequestDecision.Wait(until)
    }

    private fun answer(outcome: RequestOutcome): RequestDecision {
        val callerOutcome = if (outcome is RequestOutcome.NotRun && mayHaveRun) EARLIER_ATTEMPT_UNKNOWN else outcome
        state = AttemptsState.Answered(callerOutcome)
        return RequestDecision.AnswerCaller(callerOutcome)
    }

    public companion object {
        /**
         * Time that an agent has to reconnect before it counts as lost. It may detect a dead connection up to 3 s
         * later than the entry, and may need several attempts to connect.
         */
        public const val RECONNECT_MILLIS: Long = 6_000

        private val AGENT_LOST =
            RequestOutcome.Unknown(ResultCode.AGENT_LOST, "the connection to the agent was lost")

        private val DEADLINE_PASSED =
            RequestOutcome.Unknown(ResultCode.DEADLINE_PASSED, "the deadline passed while the request was in flight")

        private val EARLIER_ATTEMPT_UNKNOWN =
            RequestOutcome.Unknown(ResultCode.AGENT_LOST, "an earlier attempt may have run")
    }
}
