/*
 * Records a span, a log line and metrics for each call of the HTTP interface. Health checks and the metrics page are
 * left out; they would outnumber the other calls of a small deployment.
 */
package org.greengagepass.entry.process

import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.call
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.response.header
import io.opentelemetry.api.trace.SpanKind
import kotlinx.coroutines.CancellationException
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.CALL_RECORD
import org.greengagepass.entry.request.CallRecord
import org.greengagepass.entry.request.HEADER_LENGTH_MAXIMUM
import org.greengagepass.entry.request.outcomeName
import java.util.UUID

/** Records calls to the entry in [failureDomain] in [tracing], [metrics] and the log. */
public class CallObservation(
    private val failureDomain: String,
    private val tracing: Tracing,
    private val metrics: EntryMetrics,
) {
    /** Records the calls of [pipeline]. */
    public fun install(pipeline: ApplicationCallPipeline) {
        pipeline.intercept(ApplicationCallPipeline.Monitoring) {
            if (call.request.path().startsWith("/health/") || call.request.path() == "/metrics") {
                proceed()
            } else {
                observe(call) { proceed() }
            }
        }
    }

    private suspend fun observe(
        call: ApplicationCall,
        proceed: suspend () -> Unit,
    ) {
        val startedAtNanos = System.nanoTime()
        val record = recordOf(call)
        call.attributes.put(CALL_RECORD, record)
        call.response.header("Request-Id", record.requestId)
        try {
            proceed()
        } catch (cause: CancellationException) {
            record.code = ResultCode.DEADLINE_PASSED
            throw cause
        } finally {
            report(call, record, System.nanoTime() - startedAtNanos)
        }
    }

    /** Creates the record of a call. A request identifier that is not valid in a header of the answer is replaced. */
    private fun recordOf(call: ApplicationCall): CallRecord {
        val given = call.request.headers["Request-Id"]?.takeIf { it.length in 1..HEADER_LENGTH_MAXIMUM }
        val requestId = given?.takeIf { text -> text.all { it in ' '..'~' } } ?: UUID.randomUUID().toString()
        val parent = call.request.headers["traceparent"].orEmpty()
        val attributes = mapOf("requestId" to requestId, "failureDomain" to failureDomain)
        return CallRecord(requestId, tracing.start("caller to entry", SpanKind.SERVER, parent, attributes))
    }

    private fun report(
        call: ApplicationCall,
        record: CallRecord,
        nanos: Long,
    ) {
        record.span.end(record.code)
        record.service?.let { metrics.answered(it, outcomeName(record.code), nanos) }
        if (record.code.provesNotRun) metrics.refused(record.code)
        val context =
            mapOf(
                "requestId" to record.requestId,
                "traceId" to record.span.traceId,
                "task" to record.taskId.orEmpty(),
                "failureDomain" to failureDomain,
                "code" to record.code.number.toString(),
                "durationMicros" to (nanos / NANOS_PER_MICRO).toString(),
            ).filterValues { it.isNotEmpty() }
        CloseableThreadContext.putAll(context).use {
            logger.info("{} {} {}", call.request.httpMethod.value, call.request.path(), record.code)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(CallObservation::class.java)
        private const val NANOS_PER_MICRO = 1_000L
    }
}
