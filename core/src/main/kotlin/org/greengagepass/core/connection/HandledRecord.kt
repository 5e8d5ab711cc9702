/*
 * What the agent keeps of one request, and the decisions it gives on dispatches.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/** What the agent does with a dispatch that has arrived. */
public sealed class DispatchDecision {
    /** What to answer now, or null if there is nothing to answer yet. */
    public abstract val outcome: RequestOutcome?

    /** Queue the request, and call [HandledRequests.start] before it goes to the upstream. */
    public data object Accept : DispatchDecision() {
        override val outcome: RequestOutcome? get() = null
    }

    /** Answer [outcome]; the request never runs. */
    public data class Refuse(
        override val outcome: RequestOutcome.NotRun,
    ) : DispatchDecision()

    /** The dispatch is a repetition of one that has ended: answer [outcome] again and run nothing. */
    public data class ResendAnswer(
        override val outcome: RequestOutcome,
    ) : DispatchDecision()

    /** Run nothing and answer nothing, since "not run" could be false. */
    public data class Ignore(
        val reason: String,
    ) : DispatchDecision() {
        override val outcome: RequestOutcome? get() = null
    }
}

/** Whether a received request may go to the upstream. */
public sealed class StartDecision {
    /** Send the request to the upstream now. */
    public data object Start : StartDecision()

    /** The request waited past its deadline: answer [outcome]. */
    public data class Refuse(
        val outcome: RequestOutcome,
    ) : StartDecision()

    /** The request is unknown, has started already or has ended: do nothing. */
    public data object Skip : StartDecision()
}

/** A request that waited past its deadline, and the [outcome] to answer. */
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
    /** True if the record outlived its retention because the request still ran. */
    var isOverdue: Boolean = false

    val isEnded: Boolean
        get() = outcome != null
}

internal val DEADLINE_EXPIRED: RequestOutcome.NotRun =
    notRun(ResultCode.DEADLINE_EXPIRED, "the deadline passed before the request started")

internal val NEVER_RECEIVED: RequestOutcome.NotRun =
    notRun(ResultCode.NO_UPSTREAM, "the agent declared the request never received")

internal val ANSWER_DROPPED: RequestOutcome.Unknown =
    RequestOutcome.Unknown(ResultCode.AGENT_LOST, "the agent no longer keeps the answer")

internal fun notRun(
    code: ResultCode,
    detail: String,
): RequestOutcome.NotRun = RequestOutcome.NotRun(code, detail)

internal fun characters(outcome: RequestOutcome?): Long =
    when (outcome) {
        is RequestOutcome.Ran ->
            outcome.answer.body.length
                .toLong()
        is RequestOutcome.NotRun, is RequestOutcome.Unknown, null -> 0
    }
