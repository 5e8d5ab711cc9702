/*
 * HTTP client of upstreams. A request is POST /{service}/{operation} with the caller's body, and with the request
 * identifier and the W3C traceparent in headers. An upstream that refuses a request before running it sets the header
 * X-Not-Run. Only that header, or a connection that was never established, proves that the request did not run.
 */
package org.greengagepass.services.process

import org.greengagepass.core.ResultCode
import org.greengagepass.core.request.Answer
import org.greengagepass.core.request.RequestOutcome
import java.net.URI
import java.net.URLEncoder
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val FIRST_ERROR_STATUS = 500
private const val STATUS_BAD_GATEWAY = 502

/**
 * Maximum number of bytes of an answer. It is well below the frame limit of 1 MiB, and answers in all 8 slots of an
 * upstream fit the agent's heap of 16 MB.
 */
public const val ANSWER_BYTES_MAXIMUM: Int = 262_144

/** Header that carries the request identifier. */
public const val REQUEST_ID_HEADER: String = "X-Request-Id"

/** Header with which an upstream states that it refused a request before running it. */
public const val NOT_RUN_HEADER: String = "X-Not-Run"

/** Value of [NOT_RUN_HEADER] of an upstream that is draining. */
public const val NOT_RUN_DRAINING: String = "draining"

/** Value of [NOT_RUN_HEADER] of an upstream whose slots are all in use. */
public const val NOT_RUN_OVERLOADED: String = "overloaded"

/** Calls upstreams through [client]. */
public class HttpUpstreamService(
    private val client: HttpClient,
) : UpstreamService {
    override suspend fun call(
        address: String,
        request: UpstreamRequest,
        timeoutMillis: Long,
    ): RequestOutcome =
        client.exchange(httpRequest(address, request, timeoutMillis), bodyHandler()).fold(
            { failure ->
                when (failure) {
                    is HttpFailure.NotSent -> RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, failure.detail)
                    is HttpFailure.TimedOut -> RequestOutcome.Unknown(ResultCode.DEADLINE_PASSED, failure.detail)
                    is HttpFailure.ConnectionLost -> RequestOutcome.Unknown(ResultCode.AGENT_LOST, failure.detail)
                }
            },
            ::outcome,
        )

    private fun httpRequest(
        address: String,
        request: UpstreamRequest,
        timeoutMillis: Long,
    ): HttpRequest =
        HttpRequest
            .newBuilder(URI.create("$address/${encode(request.service.value)}/${encode(request.operation.value)}"))
            .timeout(Duration.ofMillis(timeoutMillis))
            .header(REQUEST_ID_HEADER, request.requestId.value)
            .header("traceparent", request.traceparent)
            .POST(HttpRequest.BodyPublishers.ofString(request.body))
            .build()

    private fun encode(segment: String) = URLEncoder.encode(segment, Charsets.UTF_8)

    private fun bodyHandler(): HttpResponse.BodyHandler<String?> =
        HttpResponse.BodyHandler { BoundedBodySubscriber(ANSWER_BYTES_MAXIMUM) }

    private fun outcome(response: HttpResponse<String?>): RequestOutcome {
        val refusal = response.headers().firstValue(NOT_RUN_HEADER).orElse(null)
        return when {
            refusal == NOT_RUN_DRAINING -> RequestOutcome.NotRun(ResultCode.DRAINING, "the upstream is draining")
            refusal != null -> RequestOutcome.NotRun(ResultCode.OVERLOADED, "the upstream refused: $refusal")
            else -> response.body()?.let { ran(response, it) } ?: TOO_LARGE
        }
    }

    private fun code(status: Int) = if (status >= FIRST_ERROR_STATUS) ResultCode.UPSTREAM_ERROR else ResultCode.OK

    private fun ran(
        response: HttpResponse<String?>,
        body: String,
    ): RequestOutcome.Ran {
        val contentType = response.headers().firstValue("Content-Type").orElse("application/octet-stream")
        return RequestOutcome.Ran(Answer(response.statusCode(), contentType, body), code(response.statusCode()))
    }
}

/** The request ran, but its answer is too large to be passed on. */
private val TOO_LARGE =
    RequestOutcome.Ran(
        answer = Answer(STATUS_BAD_GATEWAY, "text/plain", "the answer has more than $ANSWER_BYTES_MAXIMUM bytes"),
        code = ResultCode.UPSTREAM_ERROR,
    )
