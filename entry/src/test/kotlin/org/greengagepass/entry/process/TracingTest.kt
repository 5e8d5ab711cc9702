/*
 * Spans and the trace context.
 */
package org.greengagepass.entry.process

import com.sun.net.httpserver.HttpServer
import io.opentelemetry.api.trace.SpanKind
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter
import org.greengagepass.core.ResultCode
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.startsWith
import java.net.InetSocketAddress
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
private const val TRACE = "00-0af7651916cd43dd8448eb211c80319c-"
private const val HTTP_OK = 200
private const val WAIT_SECONDS = 10L

class TracingTest {
    /** Guards against a trace that ends at this entry. */
    @Test
    fun `a span continues the trace of the caller under an identifier of its own`() {
        val span = Tracing("entry", LogSpanExporter()).start("hop", SpanKind.SERVER, PARENT)
        expectThat(span.traceparent).startsWith(TRACE).isNotEqualTo(PARENT)
    }

    /** Guards against headers whose content fails the call. */
    @Test
    fun `an invalid header starts a new trace`() {
        val tracing = Tracing("entry", LogSpanExporter())
        listOf("", "x", "00-0-0-01", PARENT.replace("0af7", "zzzz"), "-".repeat(1_000)).forEach { header ->
            val span = tracing.start("hop", SpanKind.SERVER, header)
            expectThat(span.traceparent.length).isEqualTo(PARENT.length)
        }
    }

    /** Guards against losing spans when the entry stops. */
    @Test
    fun `ended spans reach the endpoint before tracing is closed`() {
        val bodies = LinkedBlockingQueue<String>()
        val collector =
            HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
                createContext("/v1/traces") { exchange ->
                    bodies += exchange.requestBody.readAllBytes().toString(Charsets.ISO_8859_1)
                    exchange.sendResponseHeaders(HTTP_OK, -1)
                    exchange.close()
                }
                start()
            }
        val endpoint = "http://127.0.0.1:${collector.address.port}/v1/traces"
        val tracing = Tracing("entry-7", OtlpHttpSpanExporter.builder().setEndpoint(endpoint).build())
        tracing.start("caller to entry", SpanKind.SERVER, PARENT).end(ResultCode.OK)
        tracing.close()
        val body = bodies.poll(WAIT_SECONDS, TimeUnit.SECONDS).orEmpty()
        collector.stop(0)
        expectThat(body).contains("caller to entry").contains("entry-7")
    }
}
