/*
 * One request as the entry handles it: what is asked, the states it goes through, and what is decided.
 */
package org.greengagepass.core.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.version.Priority

/** A request of a caller. Only [idempotent] ones may run more than once. */
public data class RequestDescription(
    val requestId: RequestId,
    val service: ServiceName,
    val idempotent: Boolean,
    val deadline: Timestamp,
    val priority: Priority = Priority.NORMAL,
    val retryLimit: Int = RetryBudget.RETRIES_MAXIMUM,
)

/** State of a request at the entry. */
public sealed class AttemptsState {
    /** Nothing was dispatched yet. */
    public data object Arrived : AttemptsState()

    /** [attempt] is with [agent]. */
    public data class Dispatched(
        val attempt: AttemptId,
        val agent: AgentIdentity,
        val dispatchedAt: Timestamp,
    ) : AttemptsState()

    /** The connection to the agent is lost. The agent is asked if it connects again before [until]. */
    public data class Inquiring(
        val dispatched: Dispatched,
        val until: Timestamp,
    ) : AttemptsState()

    /** The caller has got [outcome]; nothing follows. */
    public data class Answered(
        val outcome: RequestOutcome,
    ) : AttemptsState()
}

/** What the entry does next about a request. */
public sealed class RequestDecision {
    /** Send [attempt] to [agent]. Attempts before it are given up, so their answers are dropped. */
    public data class Dispatch(
        val attempt: AttemptId,
        val agent: AgentIdentity,
        val deadline: Timestamp,
    ) : RequestDecision()

    /** Nothing to do before [until] unless an event arrives. */
    public data class Wait(
        val until: Timestamp,
    ) : RequestDecision()

    /** Give the caller [outcome]. It is given once. */
    public data class AnswerCaller(
        val outcome: RequestOutcome,
    ) : RequestDecision()

    /** The event is of no concern to the request any more. */
    public data object Ignore : RequestDecision()
}

/** The attempt that may still have an outcome. */
internal fun AttemptsState.inFlight(): AttemptsState.Dispatched? =
    when (this) {
        is AttemptsState.Dispatched -> this
        is AttemptsState.Inquiring -> dispatched
        is AttemptsState.Arrived, is AttemptsState.Answered -> null
    }
