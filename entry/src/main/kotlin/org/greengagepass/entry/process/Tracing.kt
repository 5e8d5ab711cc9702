/*
 * Spans of the hops of a request: caller to entry, entry to agent, entry to peer. The trace context is passed on as a
 * W3C traceparent. Spans are exported by OTLP if an endpoint is set, and written as log lines otherwise.
 */
package org.greengagepass.entry.process

import io.opentelemetry.api.common.AttributeKey
import io.opentelemetry.api.trace.Span
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.api.trace.StatusCode
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator
import io.opentelemetry.context.Context
import io.opentelemetry.context.propagation.TextMapGetter
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import io.opentelemetry.sdk.common.CompletableResultCode
import io.opentelemetry.sdk.resources.Resource
import io.opentelemetry.sdk.trace.SdkTracerProvider
import io.opentelemetry.sdk.trace.data.SpanData
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor
import io.opentelemetry.sdk.trace.export.SpanExporter
import org.apache.logging.log4j.CloseableThreadContext
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.ResultCode
import java.util.concurrent.TimeUnit

/** A started span. [traceparent] is the header for the next hop. */
public class HopSpan internal constructor(
    private val span: Span,
) {
    /** The span as a W3C header. */
    public val traceparent: String =
        span.spanContext.run { "00-$traceId-$spanId-${traceFlags.asHex()}" }

    /** Identifier of the trace. */
    public val traceId: String = span.spanContext.traceId

    /** Ends the span with the result [code]. A second call has no effect. */
    public fun end(code: ResultCode) {
        span.setAttribute("result.code", code.number.toLong())
        if (code != ResultCode.OK) span.setStatus(StatusCode.ERROR, code.name)
        span.end()
    }
}

/** Starts spans of [entry] and exports them with [exporter]. */
public class Tracing(
    entry: String,
    exporter: SpanExporter,
) : AutoCloseable {
    private val provider =
        SdkTracerProvider
            .builder()
            .setResource(
                Resource
                    .getDefault()
                    .toBuilder()
                    .put(
                        "service.name",
                        "greengagepass",
                    ).put("service.instance.id", entry)
                    .build(),
            ).addSpanProcessor(
                if (exporter is LogSpanExporter) {
                    SimpleSpanProcessor.create(exporter)
                } else {
                    BatchSpanProcessor.builder(exporter).build()
                },
            ).build()
    private val tracer = provider.get("org.greengagepass.entry")

    /** Starts a span below the one in the W3C header [parent]. An invalid header starts a new trace. */
    public fun start(
        name: String,
        kind: SpanKind,
        parent: String,
        attributes: Map<String, String> = emptyMap(),
    ): HopSpan {
        val context = W3CTraceContextPropagator.getInstance().extract(Context.root(), parent, HeaderGetter)
        val builder = tracer.spanBuilder(name).setSpanKind(kind).setParent(context)
        attributes.forEach { (key, value) -> builder.setAttribute(AttributeKey.stringKey(key), value) }
        return HopSpan(builder.startSpan())
    }

    /** Exports the ended spans and accepts no more. */
    override fun close() {
        provider.shutdown().join(CLOSE_MILLIS, TimeUnit.MILLISECONDS)
    }

    public companion object {
        private const val CLOSE_MILLIS = 2_000L

        /** Tracing for an entry with [settings]. */
        public fun of(settings: EntrySettings): Tracing {
            val endpoint = settings.otlpEndpoint
            val exporter =
                if (endpoint == null) {
                    LogSpanExporter()
                } else {
                    OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build()
                }
            return Tracing(settings.entryId.value, exporter)
        }
    }
}

private object HeaderGetter : TextMapGetter<String> {
    override fun keys(carrier: String): Iterable<String> = listOf("traceparent")

    override fun get(
        carrier: String?,
        key: String,
    ): String? = carrier.takeIf { key == "traceparent" }
}

/** Writes each span as a log line. */
public class LogSpanExporter : SpanExporter {
    override fun export(spans: Collection<SpanData>): CompletableResultCode {
        spans.forEach(::write)
        return CompletableResultCode.ofSuccess()
    }

    override fun flush(): CompletableResultCode = CompletableResultCode.ofSuccess()

    override fun shutdown(): CompletableResultCode = CompletableResultCode.ofSuccess()

    private fun write(span: SpanData) {
        val context = HashMap<String, String>()
        span.attributes.forEach { key, value -> context[key.key] = value.toString() }
        context["traceId"] = span.traceId
        context["spanId"] = span.spanId
        context["parentSpanId"] = span.parentSpanId
        context["durationMicros"] = ((span.endEpochNanos - span.startEpochNanos) / NANOS_PER_MICRO).toString()
        CloseableThreadContext.putAll(context).use { logger.info("span {}", span.name) }
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.entry.span")
        private const val NANOS_PER_MICRO = 1_000L
    }
}
