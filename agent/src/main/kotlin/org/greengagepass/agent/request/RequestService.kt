/*
 * Carries out the decisions on requests: calls upstreams and sends answers, with a span for each request. Runs on
 * the agent's one thread.
 */
package org.greengagepass.agent.request

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.greengagepass.agent.process.AgentLog
import org.greengagepass.agent.process.AgentMetrics
import org.greengagepass.agent.process.Span
import org.greengagepass.core.RequestId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage.Dispatch
import org.greengagepass.services.process.UpstreamAnnouncement
import org.greengagepass.services.process.UpstreamRequest
import org.greengagepass.services.process.UpstreamService
import kotlin.random.Random

/** What the service needs around it. */
internal class RequestContext(
    val scope: CoroutineScope,
    val upstreams: UpstreamService,
    val now: () -> Timestamp,
    val send: (entry: String, message: AgentMessage) -> Boolean,
    val log: AgentLog,
    val metrics: AgentMetrics,
)

/** Serves requests by the decisions of [handler]. */
internal class RequestService(
    private val handler: RequestHandler,
    private val around: RequestContext,
) {
    private val spans = HashMap<RequestId, Span>()
    private val random = Random(System.nanoTime())

    /** [dispatch] came from [entry]. */
    fun receive(
        entry: String,
        dispatch: Dispatch,
    ) {
        spans.putIfAbsent(dispatch.requestId, Span(dispatch.traceparent, random))
        val actions = handler.receive(entry, dispatch, around.now())
        carryOut(actions)
    }

    /** An upstream announced itself. */
    fun announce(announcement: UpstreamAnnouncement) = carryOut(handler.announce(announcement, around.now()))

    /** [entry] asks about requests of an earlier connection. */
    fun inquire(
        entry: String,
        inquiries: List<Inquiry>,
    ): List<InquiryResult> = handler.inquire(entry, inquiries, around.now())

    /** To be called every second. */
    fun tick() = carryOut(handler.tick(around.now()))

    private fun carryOut(actions: List<RequestAction>) {
        actions.forEach { action ->
            when (action) {
                is RequestAction.Answer -> answer(action)
                is RequestAction.Call -> around.scope.launch { call(action) }
            }
        }
    }

    private fun answer(answer: RequestAction.Answer) {
        around.send(answer.entry, AgentMessage.RequestAnswer(answer.requestId, answer.outcome))
        spans.remove(answer.requestId)?.let { span ->
            around.log.span(span, callersId(answer.requestId), answer.outcome.code)
            around.metrics.requestEnded(answer.outcome.code, span.durationMicros())
        }
    }

    private suspend fun call(call: RequestAction.Call) {
        val dispatch = call.dispatch
        val request =
            UpstreamRequest(
                requestId = callersId(dispatch.requestId),
                traceparent = spans[dispatch.requestId]?.traceparent ?: dispatch.traceparent,
                service = dispatch.service,
                operation = dispatch.operation,
                body = dispatch.body,
            )
        val remainingMillis = dispatch.deadlineAgentClock.millisSince(around.now()).coerceAtLeast(1)
        val outcome = around.upstreams.call(call.address, request, remainingMillis)
        carryOut(handler.completed(call.address, dispatch, outcome, around.now()))
    }

    /** Upstreams and logs see the caller's identifier, without the number of the attempt. */
    private fun callersId(wireId: RequestId): RequestId = AttemptId.fromWireId(wireId)?.requestId ?: wireId
}
