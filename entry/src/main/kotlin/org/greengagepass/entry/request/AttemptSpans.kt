/*
 * Spans of the hop from the entry to an agent, one for each dispatch. A span ends with the agent's answer, or with the
 * request if the agent does not answer earlier.
 */
package org.greengagepass.entry.request

import io.opentelemetry.api.trace.SpanKind
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.request.EntryAction
import org.greengagepass.entry.process.HopSpan
import org.greengagepass.entry.process.Tracing

/** Spans that have not ended, by the identifier of the dispatch. Confined to the process's decision dispatcher. */
internal class AttemptSpans(
    private val tracing: Tracing,
) {
    private val open = HashMap<RequestId, HopSpan>()
    private val dispatches = HashMap<RequestId, MutableList<RequestId>>()

    /** Starts the span of [dispatch] below [parent] and returns the header for the agent. */
    fun start(
        dispatch: EntryAction.Dispatch,
        parent: String,
    ): String {
        val wireId = dispatch.attempt.wireId
        val attributes = mapOf("requestId" to wireId.value, "host" to dispatch.agent.host.value)
        val span = tracing.start("entry to agent", SpanKind.CLIENT, parent, attributes)
        open[wireId] = span
        dispatches.getOrPut(dispatch.request.requestId) { ArrayList() } += wireId
        return span.traceparent
    }

    /** Ends the span of the dispatch [wireId], which was answered with [code]. */
    fun answered(
        wireId: RequestId,
        code: ResultCode,
    ) {
        open.remove(wireId)?.end(code)
    }

    /** Ends the remaining spans of the request [requestId], which has ended with [code]. */
    fun requestEnded(
        requestId: RequestId,
        code: ResultCode,
    ) {
        dispatches.remove(requestId)?.forEach { answered(it, code) }
    }
}
