/*
 * Description, states and decisions of one request at the entry.
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
    /** Nothing has been dispatched yet. */
    public data object Arrived : AttemptsState()

    /** [attempt] was sent to [agent]. */
    public data class Dispatched(
        val attempt: AttemptId,
        val agent: AgentIdentity,
        val dispatchedAt: Timestamp,
    ) : AttemptsState()

    /** The connection to the agent is lost. The agent is asked about the attempt if it reconnects before [until]. */
    public data class Inquiring(
        val dispatched: Dispatched,
        val until: Timestamp,
    ) : AttemptsState()

    /** The caller has received [outcome]. This state is final. */
    public data class Answered(
        val outcome: RequestOutcome,
    ) : AttemptsState()
}

/** What the entry does next for a request. */
public sealed class RequestDecision {
    /** Send [attempt] to [agent]. Earlier attempts are abandoned, so their answers are dropped. */
    public data class Dispatch(
        val attempt: AttemptId,
        val agent: AgentIdentity,
        val deadline: Timestamp,
    ) : RequestDecision()

    /** Do nothing before [until] unless an event arrives. */
    public data class Wait(
        val until: Timestamp,
    ) : RequestDecision()

    /** Send [outcome] to the caller. A request is answered only once. */
    public data class AnswerCaller(
        val outcome: RequestOutcome,
    ) : RequestDecision()

    /** The event does not affect the request. */
    public data object Ignore : RequestDecision()
}

/** The attempt that may still have an outcome. */
internal fun AttemptsState.inFlight(): AttemptsState.Dispatched? =
    when (this) {
        is AttemptsState.Dispatched -> this
        is AttemptsState.Inquiring -> dispatched
        is AttemptsState.Arrived, is AttemptsState.Answered -> null
    }
