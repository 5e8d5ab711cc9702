/*
 * The state machine of one request at the entry. At most one attempt is in flight. A further one follows only after
 * a proof that the one before did not run, or for idempotent work, and the caller is told "not run" only if that
 * holds for every attempt.
 */
package org.greengagepass.core.request

import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.EndedAttempt
import kotlin.random.Random

/** What all requests of an entry for one service share. */
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

/** Attempts at [request]. Not safe for use by several threads at once. */
public class RequestAttempts(
    public val request: RequestDescription,
    private val policy: RequestPolicy,
) {
    private val tried = LinkedHashSet<HostId>()
    private var mayHaveRun: Boolean = false

    /** Where the request stands. */
    public var state: AttemptsState = AttemptsState.Arrived
        private set

    /** Number of attempts so far; each goes to another host. */
    public val attemptsMade: Int
        get() = tried.size

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

    /** An attempt has ended. Anything but the attempt in flight is ignored. */
    public fun attemptEnded(
        ended: EndedAttempt,
        now: Timestamp,
        random: Random,
    ): RequestDecision {
        val dispatched = state.inFlight()?.takeIf { it.attempt == ended.attempt } ?: return RequestDecision.Ignore
        policy.router.ended(dispatched.agent.host, ended.outcome, dispatched.dispatchedAt, now)
        return afterAttempt(ended.outcome, now, random) ?: answer(ended.outcome)
    }

    /** The connection to [agent] is lost. Idempotent work goes elsewhere; other work waits for the agent. */
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

    /** [agent] has connected again and was asked about the attempt in flight. */
    public fun reconnected(agent: AgentIdentity): RequestDecision {
        val inquiring = (state as? AttemptsState.Inquiring)?.takeIf { it.dispatched.agent == agent }
        return if (inquiring == null) {
            RequestDecision.Ignore
        } else {
            state = inquiring.dispatched
            RequestDecision.Wait(request.deadline)
        }
    }

    /** The moment of a [RequestDecision.Wait] has come. */
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
     * The next attempt after one that ended with [outcome], or null if there is none. The budget is asked last, since
     * it is charged with its consent.
     */
    private fun afterAttempt(
        outcome: RequestOutcome,
        now: Timestamp,
        random: Random,
    ): RequestDecision? {
        val retriesMade = tried.size - 1
        val route = policy.router.route(random, now, tried)
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
        if (tried.isEmpty()) {
            policy.budget.requestStarted()
        }
        tried.add(agent.host)
        val attempt = AttemptId(request.requestId, number = tried.size)
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
        val truthful = if (outcome is RequestOutcome.NotRun && mayHaveRun) EARLIER_ATTEMPT_UNKNOWN else outcome
        state = AttemptsState.Answered(truthful)
        return RequestDecision.AnswerCaller(truthful)
    }

    public companion object {
        /**
         * Time that an agent has to connect again before it counts as lost: it may notice a silent connection 3 s
         * after the entry, and needs a few attempts to connect.
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
