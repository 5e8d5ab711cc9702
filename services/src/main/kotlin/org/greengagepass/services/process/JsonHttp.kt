/*
 * JSON over the JDK's HTTP client, for the platform's services. Only a refusal in the response, or a connection that
 * was never established, proves that the operation had no effect. A timeout, a lost connection or a malformed response
 * proves nothing.
 */
package org.greengagepass.services.process

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.json.Json
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

private const val STATUS_OK = 200

/** Sends JSON to the service at [baseUrl]. */
internal class JsonHttp(
    private val client: HttpClient,
    private val baseUrl: String,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Sends [body] to [path] by POST and decodes the response by [response]. */
    suspend fun <B, A> post(
        path: String,
        body: TypedBody<B>,
        response: DeserializationStrategy<A>,
        timeoutMillis: Long,
    ): Either<PlatformError, A> {
        val request =
            builder(path, timeoutMillis)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json.encodeToString(body.serializer, body.value)))
                .build()
        return exchange(request).flatMap { decode(response, it) }
    }

    /** Sends a GET request to [path] and decodes the response by [response]. */
    suspend fun <A> get(
        path: String,
        response: DeserializationStrategy<A>,
        timeoutMillis: Long,
    ): Either<PlatformError, A> = exchange(builder(path, timeoutMillis).GET().build()).flatMap { decode(response, it) }

    private fun builder(
        path: String,
        timeoutMillis: Long,
    ): HttpRequest.Builder =
        HttpRequest
            .newBuilder(URI.create("$baseUrl$path"))
            .timeout(Duration.ofMillis(timeoutMillis))

    private suspend fun exchange(request: HttpRequest): Either<PlatformError, String> =
        client
            .exchange(request, HttpResponse.BodyHandlers.ofString())
            .mapLeft(::platformError)
            .flatMap { if (it.statusCode() == STATUS_OK) it.body().right() else refusal(it).left() }

    private fun platformError(failure: HttpFailure): PlatformError =
        when (failure) {
            is HttpFailure.NotSent -> PlatformError.Refused(failure.detail, RefusalReason.UNAVAILABLE)
            is HttpFailure.TimedOut, is HttpFailure.ConnectionLost -> PlatformError.NoAnswer(failure.detail)
        }

    private fun refusal(response: HttpResponse<String>): PlatformError =
        decode(RefusalBody.serializer(), response.body()).fold(
            { PlatformError.NoAnswer("status ${response.statusCode()} without a reason") },
            { PlatformError.Refused(it.detail, it.reason) },
        )

    private fun <A> decode(
        strategy: DeserializationStrategy<A>,
        text: String,
    ): Either<PlatformError, A> =
        try {
            json.decodeFromString(strategy, text).right()
        } catch (cause: SerializationException) {
            PlatformError.NoAnswer("the response has an unexpected form: ${cause.message}").left()
        }
}

/** A request body with its serializer. */
internal class TypedBody<T>(
    val value: T,
    val serializer: SerializationStrategy<T>,
)
