/*
 * The agent's record of one request, and its decisions on dispatches.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/** Decision of the agent on a dispatch that has arrived. */
public sealed class DispatchDecision {
    /** The outcome to answer now, or null if there is none yet. */
    public abstract val outcome: RequestOutcome?

    /** Queue the request, and call [HandledRequests.start] before sending it to the upstream. */
    public data object Accept : DispatchDecision() {
        override val outcome: RequestOutcome? get() = null
    }

    /** Answer [outcome]. The request never runs. */
    public data class Refuse(
        override val outcome: RequestOutcome.NotRun,
    ) : DispatchDecision()

    /** The dispatch repeats a request that has ended: answer [outcome] again and run nothing. */
    public data class ResendAnswer(
        override val outcome: RequestOutcome,
    ) : DispatchDecision()

    /** Run nothing and answer nothing, since the answer "not run" could be false. */
    public data class Ignore(
        val reason: String,
    ) : DispatchDecision() {
        override val outcome: RequestOutcome? get() = null
    }
}

/** Decision whether a received request may be sent to the upstream. */
public sealed class StartDecision {
    /** Send the request to the upstream now. */
    public data object Start : StartDecision()

    /** The request's deadline passed in the queue: answer [outcome]. */
    public data class Refuse(
        val outcome: RequestOutcome,
    ) : StartDecision()

    /** The request is unknown, has started already or has ended: do nothing. */
    public data object Skip : StartDecision()
}

/** A request whose deadline passed in the queue, and the [outcome] to answer. */
public data class ExpiredRequest(
    val requestId: RequestId,
    val outcome: RequestOutcome,
)

internal enum class HandledPhase {
    RECEIVED,
    RUNNING,
    ANSWERED,
    TOMBSTONED,
}

internal class HandledRecord(
    val requestId: RequestId,
    val deadline: Timestamp,
    var phase: HandledPhase,
    var outcome: RequestOutcome? = null,
) {
    /** True if the retention of the record ended while the request was still running. */
    var isOverdue: Boolean = false

    val isEnded: Boolean
        get() = outcome != null
}

internal val DEADLINE_EXPIRED: RequestOutcome.NotRun =
    notRun(ResultCode.DEADLINE_EXPIRED, "the deadline passed before the request started")

internal val NEVER_RECEIVED: RequestOutcome.NotRun =
    notRun(ResultCode.NO_UPSTREAM, "the agent never received the request")

internal val ANSWER_DROPPED: RequestOutcome.Unknown =
    RequestOutcome.Unknown(ResultCode.AGENT_LOST, "the agent no longer keeps the answer")

internal fun notRun(
    code: ResultCode,
    detail: String,
): RequestOutcome.NotRun = RequestOutcome.NotRun(code, detail)

internal fun answerCharacters(outcome: RequestOutcome?): Long =
    when (outcome) {
        is RequestOutcome.Ran ->
            outcome.answer.body.length
                .toLong()
        is RequestOutcome.NotRun, is RequestOutcome.Unknown, null -> 0
    }
