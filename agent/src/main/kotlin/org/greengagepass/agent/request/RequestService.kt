/*
 * Carries out the decisions about requests: calls upstreams and sends answers, with a span for each request. Runs on
 * the agent's single thread.
 */
package org.greengagepass.agent.request

import arrow.core.Either
import arrow.core.getOrElse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.greengagepass.agent.process.AgentLog
import org.greengagepass.agent.process.AgentMetrics
import org.greengagepass.agent.process.Span
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AttemptId
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage.Dispatch
import org.greengagepass.services.process.UpstreamAnnouncement
import org.greengagepass.services.process.UpstreamRequest
import org.greengagepass.services.process.UpstreamService
import kotlin.random.Random

/** Collaborators that the service gets from its agent. */
internal class RequestContext(
    val scope: CoroutineScope,
    val upstreams: UpstreamService,
    val now: () -> Timestamp,
    val send: (entry: String, message: AgentMessage) -> Boolean,
    val log: AgentLog,
    val metrics: AgentMetrics,
)

/** Serves requests according to the decisions of [handler]. */
internal class RequestService(
    private val handler: RequestHandler,
    private val context: RequestContext,
) {
    private val spans = HashMap<RequestId, Span>()
    private val random = Random(System.nanoTime())

    /** Handles [dispatch] of [entry]. */
    fun receive(
        entry: String,
        dispatch: Dispatch,
    ) {
        spans.putIfAbsent(dispatch.requestId, Span(dispatch.traceparent, random))
        val actions = handler.receive(entry, dispatch, context.now())
        carryOut(actions)
    }

    /** Handles the announcement of an upstream. */
    fun announce(announcement: UpstreamAnnouncement) = carryOut(handler.announce(announcement, context.now()))

    /** Answers inquiries of [entry] about requests of an earlier connection. */
    fun inquire(
        entry: String,
        inquiries: List<Inquiry>,
    ): List<InquiryResult> = handler.inquire(entry, inquiries, context.now())

    /** Ends expired requests. Called every second. */
    fun tick() = carryOut(handler.tick(context.now()))

    private fun carryOut(actions: List<RequestAction>) {
        actions.forEach { action ->
            when (action) {
                is RequestAction.Answer -> answer(action)
                is RequestAction.Call -> context.scope.launch { call(action) }
            }
        }
    }

    private fun answer(answer: RequestAction.Answer) {
        context.send(answer.entry, AgentMessage.RequestAnswer(answer.requestId, answer.outcome))
        spans.remove(answer.requestId)?.let { span ->
            context.log.span(span, callerRequestId(answer.requestId), answer.outcome.code)
            context.metrics.recordRequest(answer.outcome.code, span.durationMicros())
        }
    }

    private suspend fun call(call: RequestAction.Call) {
        val dispatch = call.dispatch
        val request =
            UpstreamRequest(
                requestId = callerRequestId(dispatch.requestId),
                traceparent = spans[dispatch.requestId]?.traceparent ?: dispatch.traceparent,
                service = dispatch.service,
                operation = dispatch.operation,
                body = dispatch.body,
            )
        val remainingMillis = dispatch.deadlineAgentClock.millisSince(context.now()).coerceAtLeast(1)
        val outcome =
            Either
                .catch { context.upstreams.call(call.address, request, remainingMillis) }
                .getOrElse { RequestOutcome.Unknown(ResultCode.INTERNAL, "the call to the upstream failed: $it") }
        carryOut(handler.completed(call.address, dispatch, outcome, context.now()))
    }

    /** Returns the caller's identifier without the attempt number, for upstreams and logs. */
    private fun callerRequestId(wireId: RequestId): RequestId = AttemptId.fromWireId(wireId)?.requestId ?: wireId
}
