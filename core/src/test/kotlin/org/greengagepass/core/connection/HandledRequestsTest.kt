/*
 * The agent's records of requests in isolation, with few identifiers and deadlines close together, so that late and
 * repeated dispatches and inquiries occur in every phase of a record and after its removal.
 */
package org.greengagepass.core.connection

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.Answer
import org.greengagepass.core.request.RequestOutcome
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class HandledRequestsTest {
    /** Guards against a "not run" for a request that ran or runs later, and against a second run. */
    @Test
    fun `a request reported as not run never runs, and no request runs twice`() =
        runTest {
            var runs = 0
            checkAll(PropTestConfig(seed = SEED, iterations = 3_000), Arb.long()) { seed ->
                runs += HandledHistory(seed).run(steps = 120)
            }
            expectThat(runs).isGreaterThan(3_000)
        }

    /** Guards against memory use that grows with requests, tombstones or answers. */
    @Test
    fun `records and answers stay within their limits and are freed`() {
        val handled = HandledRequests(requestsMaximum = 50, recordsMaximum = 100, answerCharactersMaximum = 1_000)
        repeat(1_000) { number ->
            val requestId = RequestId("r$number")
            handled.receive(requestId, Timestamp(1_000), Timestamp(number / 10L))
            handled.start(requestId, Timestamp(number / 10L))
            handled.end(requestId, ran("a".repeat(100)))
            expectThat(handled.size).isLessThanOrEqualTo(100)
        }
        val inquired = (0 until 50).map { Inquiry(RequestId("r$it"), Timestamp(1_000)) }
        val kept =
            handled.inquire(inquired, Timestamp(200)).filter {
                it.outcome is RequestOutcome.Ran
            }
        expectThat(kept.size).isLessThanOrEqualTo(10)
        handled.expire(Timestamp(10_000))
        expectThat(handled.size).isEqualTo(0)
        expectThat(
            handled.receive(RequestId("new"), Timestamp(20_000), Timestamp(10_000)),
        ).isA<DispatchDecision.Accept>()
    }

    /** Guards against a record that is never removed, and one that is removed while its request runs. */
    @Test
    fun `a request that runs past its deadline is kept until it ends`() {
        val handled = HandledRequests()
        handled.receive(RequestId("late"), Timestamp(100), Timestamp(0))
        handled.start(RequestId("late"), Timestamp(50))
        handled.expire(Timestamp(60_000))
        expectThat(handled.unfinished).isEqualTo(1)
        expectThat(handled.end(RequestId("late"), ran("done"))).isEqualTo(ran("done"))
        handled.expire(Timestamp(60_001))
        expectThat(handled.size).isEqualTo(0)
    }

    private companion object {
        private const val SEED = 20_261_205L
    }
}

private fun ran(body: String) = RequestOutcome.Ran(Answer(200, "", body))

private class HandledHistory(
    seed: Long,
) {
    private val random = Random(seed)
    private val handled = HandledRequests()
    private val deadlines = List(4) { RequestId("r$it") to Timestamp(random.nextLong(1, 8_000)) }.toMap()
    private val ran = HashSet<RequestId>()
    private val reportedNotRun = HashSet<RequestId>()
    private var now = Timestamp(0)

    fun run(steps: Int): Int {
        repeat(steps) {
            val (requestId, deadline) = deadlines.entries.random(random)
            when (random.nextInt(9)) {
                0, 1 -> reported(requestId, handled.receive(requestId, deadline, now, refusalOrNull()).outcome)
                2, 7, 8 -> start(requestId)
                3 -> handled.end(requestId, ran("answer"))
                4 ->
                    handled
                        .inquire(
                            listOf(Inquiry(requestId, deadline)),
                            now,
                        ).forEach { reported(requestId, it.outcome) }
                5 -> handled.expire(now).forEach { reported(it.requestId, it.outcome) }
                else -> now = now.plusMillis(random.nextLong(1_200))
            }
        }
        return ran.size
    }

    private fun start(requestId: RequestId) {
        when (val decision = handled.start(requestId, now)) {
            is StartDecision.Start -> {
                check(ran.add(requestId)) { "G7: $requestId started twice" }
                check(requestId !in reportedNotRun) { "G6: $requestId starts after it was reported as not run" }
                check(now < deadlines.getValue(requestId)) { "$requestId starts past its deadline" }
            }
            is StartDecision.Refuse -> reported(requestId, decision.outcome)
            is StartDecision.Skip -> Unit
        }
    }

    private fun reported(
        requestId: RequestId,
        outcome: RequestOutcome?,
    ) {
        if (outcome is RequestOutcome.NotRun) {
            check(requestId !in ran) { "G6: $requestId ran and is reported as $outcome" }
            reportedNotRun.add(requestId)
        }
    }

    private fun refusalOrNull(): RequestOutcome.NotRun? =
        RequestOutcome.NotRun(ResultCode.OVERLOADED, "full").takeIf { random.nextInt(4) == 0 }
}
