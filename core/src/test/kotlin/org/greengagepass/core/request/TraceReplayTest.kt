/*
 * Replay of request traces. docs/request-traces.md describes their format.
 */
package org.greengagepass.core.request

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentClock
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.connection.InquiryResult
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import kotlin.random.Random

class TraceReplayTest {
    /** Guards against a changed decision in a situation that has occurred before. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "silent-connection",
            "lost-answer",
            "crossed-answers",
            "upstream-leaves",
            "failure-domain-out-and-in",
        ],
    )
    fun `the entry decides as the trace expects`(name: String) {
        val lines = checkNotNull(javaClass.getResource("/traces/requests/$name.jsonl")).readText().trim().lines()
        val replay = TraceReplay()
        lines.forEachIndexed { index, line -> replay.apply(Json.decodeFromString(line), "$name line ${index + 1}") }
        replay.end(name)
    }
}

@Serializable
private enum class TraceEvent {
    CONNECTED,
    HEARTBEAT,
    CONNECTION_LOST,
    DOMAINS_OUT,
    SUBMIT,
    ANSWER,
    INQUIRY_ANSWER,
    TIME,
    EXPECT_DISPATCH,
    EXPECT_INQUIRY,
    EXPECT_OUTCOME,
}

@Serializable
private enum class TraceOutcome { RAN, NOT_RUN, UNKNOWN }

@Serializable
private enum class TraceInquiryResult { RUNNING, ANSWERED, NEVER_RECEIVED }

@Serializable
private data class TraceLine(
    val at: Long,
    val event: TraceEvent,
    val host: String = "",
    val incarnation: Long = 1,
    val domain: String = "",
    val domains: List<String> = emptyList(),
    val agentClock: Long = 0,
    val leaving: Boolean = false,
    val request: String = "",
    val idempotent: Boolean = false,
    val deadline: Long = 0,
    val attempt: String = "",
    val attempts: List<String> = emptyList(),
    val result: TraceInquiryResult = TraceInquiryResult.RUNNING,
    val outcome: TraceOutcome = TraceOutcome.RAN,
    val code: ResultCode = ResultCode.OK,
    val body: String = "",
) {
    val time get() = Timestamp(at)
    val agent get() = AgentIdentity(HostId(host), Incarnation(incarnation))

    fun toOutcome(): RequestOutcome =
        when (outcome) {
            TraceOutcome.RAN -> RequestOutcome.Ran(Answer(200, "text/plain", body))
            TraceOutcome.NOT_RUN -> RequestOutcome.NotRun(code, body)
            TraceOutcome.UNKNOWN -> RequestOutcome.Unknown(code, body)
        }

    fun toInquiryResult(): InquiryResult =
        when (result) {
            TraceInquiryResult.RUNNING -> InquiryResult.Running(RequestId(attempt))
            TraceInquiryResult.ANSWERED -> InquiryResult.Answered(RequestId(attempt), toOutcome())
            TraceInquiryResult.NEVER_RECEIVED -> InquiryResult.NeverReceived(RequestId(attempt))
        }
}

private class TraceReplay {
    private val router = Router(EntryId("entry"), FailureDomainName("medina"))
    private val policy = RequestPolicy(router, RetryBudget(), LoadShedder())
    private val entry = EntryRequests(Random(0)) { policy }
    private val actions = ArrayDeque<EntryAction>()

    /** Applies an event, or compares the next action with an expectation. Every action must be expected. */
    fun apply(
        line: TraceLine,
        position: String,
    ) {
        val expected = expectedBy(line)
        if (expected == null) {
            end(position)
            actions.addAll(event(line))
        } else {
            expectThat(actions.removeFirstOrNull()?.let { describe(it) }).describedAs(position).isEqualTo(expected)
        }
    }

    fun end(position: String) {
        expectThat(actions.map { describe(it) }).describedAs("before $position").isEqualTo(emptyList())
    }

    private fun event(line: TraceLine): List<EntryAction> =
        when (line.event) {
            TraceEvent.CONNECTED -> entry.connected(line.agent, line.time)
            TraceEvent.HEARTBEAT -> heartbeat(line)
            TraceEvent.CONNECTION_LOST -> {
                router.gone(line.agent.host)
                entry.connectionLost(line.agent, line.time)
            }
            TraceEvent.DOMAINS_OUT -> {
                router.failureDomainsOut = line.domains.map { FailureDomainName(it) }.toSet()
                emptyList()
            }
            TraceEvent.SUBMIT -> entry.submit(requestOf(line), line.time)
            TraceEvent.ANSWER -> entry.answered(RequestId(line.attempt), line.agent, line.toOutcome(), line.time)
            TraceEvent.INQUIRY_ANSWER -> entry.inquiryAnswered(line.agent, listOf(line.toInquiryResult()), line.time)
            else -> entry.timeReached(line.time)
        }

    private fun heartbeat(line: TraceLine): List<EntryAction> {
        entry.heartbeat(line.agent, AgentClock(Timestamp(line.agentClock), line.time))
        router.reported(UpstreamReport(line.agent, FailureDomainName(line.domain), 8, 0, line.leaving))
        return emptyList()
    }

    private fun requestOf(line: TraceLine) =
        RequestDescription(RequestId(line.request), ServiceName("orders"), line.idempotent, Timestamp(line.deadline))

    private fun expectedBy(line: TraceLine): String? =
        when (line.event) {
            TraceEvent.EXPECT_DISPATCH -> "dispatch ${line.attempt} to ${line.agent} until ${line.agentClock}"
            TraceEvent.EXPECT_INQUIRY -> "inquire ${line.agent} about ${line.attempts}"
            TraceEvent.EXPECT_OUTCOME -> "answer ${line.request} ${line.outcome} ${line.code} ${line.body}"
            else -> null
        }

    private fun describe(action: EntryAction): String =
        when (action) {
            is EntryAction.Dispatch ->
                "dispatch ${action.attempt.wireId.value} to ${action.agent} until ${action.deadlineAgentClock.millis}"
            is EntryAction.Inquire -> "inquire ${action.agent} about ${action.inquiries.map { it.requestId.value }}"
            is EntryAction.Answer -> "answer ${action.requestId.value} ${describe(action.outcome)}"
        }

    private fun describe(outcome: RequestOutcome): String =
        when (outcome) {
            is RequestOutcome.Ran -> "RAN ${outcome.code} ${outcome.answer.body}"
            is RequestOutcome.NotRun -> "NOT_RUN ${outcome.code} "
            is RequestOutcome.Unknown -> "UNKNOWN ${outcome.code} "
        }
}
