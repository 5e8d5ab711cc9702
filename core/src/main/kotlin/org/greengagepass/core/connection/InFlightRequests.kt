/*
 * The attempts that an entry has dispatched and that have no outcome yet. Answers are matched by attempt and agent
 * process; all others are dropped. Times are readings of the entry's clock unless a name says otherwise.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/** Attempts in flight from one entry. Not safe for use by several threads at once. */
public class InFlightRequests {
    private val table = InFlightTable()

    /** Number of attempts in flight. */
    public val size: Int
        get() = table.size

    /** Time at which [expire] is due next, or null if nothing is in flight. */
    public val nextDeadline: Timestamp?
        get() = table.earliest()?.deadline

    /** True if [attempt] is in flight. */
    public operator fun contains(attempt: AttemptId): Boolean = table[attempt] != null

    /** Number of attempts in flight at [host]. */
    public fun countAt(host: HostId): Int = table.countAt(host)

    /**
     * Adds [attempt]. Must be called before the dispatch is sent. Returns false without an effect if the attempt is
     * already in flight, in which case it must not be sent.
     */
    public fun dispatched(
        attempt: AttemptId,
        agent: AgentIdentity,
        deadline: Timestamp,
        deadlineAgentClock: Timestamp,
    ): Boolean = table.add(InFlightAttempt(attempt, agent, deadline, deadlineAgentClock))

    /** Handles an answer of [agent] to [attempt]. */
    public fun answered(
        attempt: AttemptId,
        agent: AgentIdentity,
        outcome: RequestOutcome,
    ): AnswerMatch {
        val inFlight = table[attempt]
        return when {
            inFlight == null -> AnswerMatch.Dropped(DropReason.LATE)
            inFlight.agent != agent -> AnswerMatch.Dropped(DropReason.CROSSED)
            else -> {
                table.remove(inFlight)
                AnswerMatch.Matched(EndedAttempt(attempt, provenOutcome(outcome)))
            }
        }
    }

    /** Returns the attempts at [agent], whose connection is lost. They stay in flight. */
    public fun connectionLost(agent: AgentIdentity): List<AttemptId> = table.at(agent).map { it.attempt }

    /**
     * Handles a new connection of a host's agent, now with the identity [agent]. Returns the inquiries to send on the
     * new connection, and ends the attempts at earlier processes of that agent, since no process has a record of them
     * any more.
     */
    public fun reconnected(agent: AgentIdentity): Reconnection {
        val earlier = table.at(agent.host).filter { it.agent.incarnation < agent.incarnation }
        earlier.forEach { table.remove(it) }
        return Reconnection(
            inquiries = table.at(agent).map { Inquiry(it.attempt.wireId, it.deadlineAgentClock) },
            ended = earlier.map { EndedAttempt(it.attempt, agentReplaced(it)) },
        )
    }

    /**
     * Handles the answers of [agent] to inquiries. "Never received" proves that the attempt did not run, and is
     * accepted as proof only from the process that the attempt was sent to.
     */
    public fun inquiryAnswered(
        agent: AgentIdentity,
        results: List<InquiryResult>,
    ): List<EndedAttempt> =
        results.mapNotNull { result ->
            val attempt = AttemptId.fromWireId(result.requestId)
            val outcome = result.outcome
            if (attempt == null || outcome == null) null else endedBy(answered(attempt, agent, outcome))
        }

    /** Removes [attempt], for instance because its caller has disconnected. An answer to it is dropped from now on. */
    public fun abandon(attempt: AttemptId): Boolean = table[attempt]?.also { table.remove(it) } != null

    /** Ends the attempts whose deadline has passed at [now]. */
    public fun expire(now: Timestamp): List<EndedAttempt> {
        val ended = mutableListOf<EndedAttempt>()
        var earliest = table.earliest()
        while (earliest != null && earliest.deadline <= now) {
            table.remove(earliest)
            ended.add(EndedAttempt(earliest.attempt, DEADLINE_PASSED))
            earliest = table.earliest()
        }
        return ended
    }
}

/** Result of matching an answer to the attempts in flight. */
public sealed class AnswerMatch {
    /** The answer belongs to an attempt in flight, which has ended. */
    public data class Matched(
        val ended: EndedAttempt,
    ) : AnswerMatch()

    /** The answer does not belong to an attempt in flight and has no effect. */
    public data class Dropped(
        val reason: DropReason,
    ) : AnswerMatch()
}

/** Why an answer was dropped. */
public enum class DropReason {
    /** The attempt has ended, was abandoned, or was never dispatched by this entry. */
    LATE,

    /** The attempt is in flight at another agent process. */
    CROSSED,
}

/** An attempt that has ended, and its outcome. */
public data class EndedAttempt(
    val attempt: AttemptId,
    val outcome: RequestOutcome,
)

/** Consequences of a new connection of an agent. */
public data class Reconnection(
    val inquiries: List<Inquiry>,
    val ended: List<EndedAttempt>,
)

private val DEADLINE_PASSED =
    RequestOutcome.Unknown(ResultCode.DEADLINE_PASSED, "the deadline passed without an outcome from the agent")

private fun agentReplaced(inFlight: InFlightAttempt): RequestOutcome =
    RequestOutcome.Unknown(
        ResultCode.AGENT_LOST,
        "the agent of ${inFlight.agent.host.value} was replaced while it had the request",
    )

private fun endedBy(match: AnswerMatch): EndedAttempt? =
    when (match) {
        is AnswerMatch.Matched -> match.ended
        is AnswerMatch.Dropped -> null
    }

/** Replaces "not run" by unknown unless its code proves it, so that a malformed answer never permits a second run. */
private fun provenOutcome(outcome: RequestOutcome): RequestOutcome =
    when (outcome) {
        is RequestOutcome.NotRun ->
            if (outcome.code.provesNotRun) outcome else RequestOutcome.Unknown(outcome.code, outcome.detail)
        is RequestOutcome.Ran, is RequestOutcome.Unknown -> outcome
    }
