/*
 * Decisions about requests in simulated time: slots, the queue, and upstreams that are draining or unreachable.
 */
package org.greengagepass.agent.request

import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.request.Answer
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.EntryMessage.Dispatch
import org.greengagepass.services.process.UpstreamAnnouncement
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

private const val ADDRESS = "http://127.0.0.1:1"
private val SERVICE = ServiceName("order")
private val RAN = RequestOutcome.Ran(Answer(200, "text/plain", "done"))

class RequestHandlerTest {
    private val handler = RequestHandler()

    /** Guards against requests that run twice, get two answers, or exceed the slots of an upstream. */
    @Test
    fun `each request runs at most once and is answered at most once`() =
        runTest {
            checkAll(300, Arb.long()) { seed -> RandomRequests(Random(seed)).run(steps = 120) }
        }

    /** Guards against a queue that waits for an upstream that refuses connections. */
    @Test
    fun `an unreachable upstream gets no requests until it announces itself again`() {
        handler.announce(announcement(), Timestamp(0))
        val first = handler.receive("entry", dispatch("a"), Timestamp(0)).single() as RequestAction.Call
        val queued = handler.receive("entry", dispatch("b"), Timestamp(0))
        expectThat(queued).hasSize(0)
        val notRun = RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, "refused")
        val actions = handler.completed(ADDRESS, first.dispatch, notRun, Timestamp(1))
        expectThat(actions.filterIsInstance<RequestAction.Call>()).hasSize(0)
        expectThat(actions.filterIsInstance<RequestAction.Answer>().map { it.outcome.code.provesNotRun })
            .isEqualTo(listOf(true, true))
        handler.announce(announcement(), Timestamp(2))
        expectThat(handler.receive("entry", dispatch("c"), Timestamp(2)).single()).isA<RequestAction.Call>()
    }

    /** Guards against requests sent to an upstream that failed without deregistering. */
    @Test
    fun `an announcement expires after three seconds`() {
        handler.announce(announcement(), Timestamp(0))
        val answer = handler.receive("entry", dispatch("a"), Timestamp(3_000)).single() as RequestAction.Answer
        expectThat(answer.outcome.code).isEqualTo(ResultCode.NO_UPSTREAM)
    }

    /** Guards against an answer that is queued on a dead connection forever. */
    @Test
    fun `after an inquiry the answer goes to the entry that asked`() {
        handler.announce(announcement(), Timestamp(0))
        val call = handler.receive("old", dispatch("a"), Timestamp(0)).single() as RequestAction.Call
        val inquiry = Inquiry(RequestId("a"), Timestamp(5_000))
        handler.inquire("new", listOf(inquiry), Timestamp(1))
        expectThat(handler.completed(ADDRESS, call.dispatch, RAN, Timestamp(2)))
            .isEqualTo(listOf(RequestAction.Answer("new", RequestId("a"), RAN)))
    }
}

private fun announcement(
    slots: Int = 1,
    leaving: Boolean = false,
) = UpstreamAnnouncement(SERVICE, ADDRESS, slots, leaving)

private fun dispatch(
    id: String,
    deadlineMillis: Long = 5_000,
) = Dispatch(RequestId(id), "", SERVICE, WorkKind("confirm"), "", Timestamp(deadlineMillis), idempotent = false)

private class RandomRequests(
    private val random: Random,
) {
    private val handler = RequestHandler()
    private val running = mutableListOf<RequestAction.Call>()
    private val runs = mutableMapOf<RequestId, Int>()
    private val outcomes = mutableMapOf<RequestId, RequestOutcome>()
    private val dispatches = mutableMapOf<String, Dispatch>()
    private var now = Timestamp(0)

    fun run(steps: Int) {
        repeat(steps) {
            now = now.plusMillis(random.nextLong(200))
            record(step())
            expectThat(running.size).isLessThanOrEqualTo(3)
        }
        expectThat(runs.values.filter { it > 1 }).hasSize(0)
        outcomes.filterValues { it is RequestOutcome.NotRun }.keys.forEach { expectThat(runs[it]).isEqualTo(null) }
    }

    private fun step(): List<RequestAction> =
        when (random.nextInt(6)) {
            0, 1 -> handler.receive("entry", nextDispatch(), now)
            2 -> handler.announce(announcement(slots = 3, leaving = random.nextInt(5) == 0), now)
            3, 4 -> running.removeFirstOrNull()?.let { handler.completed(ADDRESS, it.dispatch, RAN, now) }.orEmpty()
            else -> handler.tick(now)
        }

    /** Returns a new dispatch or repeats an earlier one with the same deadline. */
    private fun nextDispatch(): Dispatch {
        val id = "${random.nextInt(60)}"
        return dispatches.getOrPut(id) { dispatch(id, now.millis + random.nextLong(600)) }
    }

    private fun record(actions: List<RequestAction>) =
        actions.forEach { action ->
            when (action) {
                is RequestAction.Call -> {
                    running += action
                    runs.merge(action.dispatch.requestId, 1, Int::plus)
                }
                is RequestAction.Answer ->
                    expectThat(outcomes.getOrPut(action.requestId) { action.outcome }).isEqualTo(action.outcome)
            }
        }
}
