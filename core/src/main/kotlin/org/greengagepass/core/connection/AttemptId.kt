/*
 * Identity of one dispatch of a request, and of the agent process that it was sent to. A retry is a new attempt, so
 * an answer to an earlier attempt is never mistaken for an answer to a later one.
 */
package org.greengagepass.core.connection

import kotlinx.serialization.Serializable
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

private const val ATTEMPT_SEPARATOR = '#'

/** One attempt at a request. [number] counts the attempts of the request from 1. */
@Serializable
public data class AttemptId(
    val requestId: RequestId,
    val number: Int,
) {
    /** The identifier of the attempt in messages between entry and agent. */
    public val wireId: RequestId
        get() = RequestId("${requestId.value}$ATTEMPT_SEPARATOR$number")

    /** The attempt that follows this one. */
    public fun next(): AttemptId = copy(number = number + 1)

    public companion object {
        /** The first attempt at [requestId]. */
        public fun first(requestId: RequestId): AttemptId = AttemptId(requestId, number = 1)

        /** The attempt with the identifier [wireId], or null if the identifier is not valid. */
        public fun fromWireId(wireId: RequestId): AttemptId? {
            val number = wireId.value.substringAfterLast(ATTEMPT_SEPARATOR, "").toIntOrNull() ?: return null
            val attempt = AttemptId(RequestId(wireId.value.substringBeforeLast(ATTEMPT_SEPARATOR)), number)
            return attempt.takeIf { number > 0 && it.wireId == wireId }
        }
    }
}

/** One agent process. A restarted agent has no record of the requests of its predecessor. */
@Serializable
public data class AgentIdentity(
    val host: HostId,
    val incarnation: Incarnation,
)

/**
 * Inquiry about a dispatch that was sent on an earlier connection. It carries the deadline of the dispatch: without
 * it the agent would not know how long to refuse a dispatch that is still in transit, and could not distinguish a
 * request that it never received from one whose record it has removed.
 */
@Serializable
public data class Inquiry(
    val requestId: RequestId,
    val deadlineAgentClock: Timestamp,
)

/** State of a request at the agent, in reply to an inquiry. */
@Serializable
public sealed class InquiryResult {
    /** The request that the inquiry is about. */
    public abstract val requestId: RequestId

    /** How the request has ended, or null if it has not. */
    public abstract val outcome: RequestOutcome?

    /** The request is queued at the agent or running at the upstream; its answer will follow. */
    @Serializable
    public data class Running(
        override val requestId: RequestId,
    ) : InquiryResult() {
        override val outcome: RequestOutcome? get() = null
    }

    /** The request has ended with [outcome]. */
    @Serializable
    public data class Answered(
        override val requestId: RequestId,
        override val outcome: RequestOutcome,
    ) : InquiryResult()

    /** The request never arrived, and will be refused if it arrives after this result. */
    @Serializable
    public data class NeverReceived(
        override val requestId: RequestId,
    ) : InquiryResult() {
        override val outcome: RequestOutcome get() = NEVER_RECEIVED
    }
}
