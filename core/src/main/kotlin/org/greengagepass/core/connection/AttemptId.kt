/*
 * Identity of one dispatch of a request, and of the agent process that it went to. A retry is a new attempt, so an
 * answer to an earlier attempt is never taken for an answer to a later one.
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
    /** The identifier under which the attempt travels in messages between entry and agent. */
    public val wireId: RequestId
        get() = RequestId("${requestId.value}$ATTEMPT_SEPARATOR$number")

    /** The attempt that follows this one. */
    public fun next(): AttemptId = copy(number = number + 1)

    public companion object {
        /** The first attempt at [requestId]. */
        public fun first(requestId: RequestId): AttemptId = AttemptId(requestId, number = 1)

        /** The attempt that travels as [wireId], or null if the identifier does not name one. */
        public fun fromWireId(wireId: RequestId): AttemptId? {
            val number = wireId.value.substringAfterLast(ATTEMPT_SEPARATOR, "").toIntOrNull() ?: return null
            val attempt = AttemptId(RequestId(wireId.value.substringBeforeLast(ATTEMPT_SEPARATOR)), number)
            return attempt.takeIf { number > 0 && it.wireId == wireId }
        }
    }
}

/** One agent process. A restarted agent remembers nothing of its predecessor's requests. */
@Serializable
public data class AgentIdentity(
    val host: HostId,
    val incarnation: Incarnation,
)

/**
 * Question about a dispatch that was sent on an earlier connection. The deadline is the one that the dispatch
 * carried: without it the agent could neither know how long to refuse a dispatch that is still under way, nor tell a
 * request that it never received from one that it has forgotten.
 */
@Serializable
public data class Inquiry(
    val requestId: RequestId,
    val deadlineAgentClock: Timestamp,
)

/** What an agent knows of a request that an entry inquired about. */
@Serializable
public sealed class InquiryResult {
    /** The request in question. */
    public abstract val requestId: RequestId

    /** How the request has ended, or null if it has not. */
    public abstract val outcome: RequestOutcome?

    /** The request waits at the agent or is with the upstream; its answer will follow. */
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

    /** The request never arrived, and is refused if it arrives after this answer. */
    @Serializable
    public data class NeverReceived(
        override val requestId: RequestId,
    ) : InquiryResult() {
        override val outcome: RequestOutcome get() = NEVER_RECEIVED
    }
}
