/*
 * JSON over the JDK's HTTP client, for the platform's services. A connection that was never established proves that
 * the operation did not happen. A timeout, a broken answer or an answer that is not a stated refusal proves nothing.
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

/** Sends JSON to the service at [base]. */
internal class JsonHttp(
    private val client: HttpClient,
    private val base: String,
) {
    private val json = Json { ignoreUnknownKeys = true }

    /** Posts [body] to [path] and decodes the answer by [answer]. */
    suspend fun <B, A> post(
        path: String,
        body: Typed<B>,
        answer: DeserializationStrategy<A>,
        timeoutMillis: Long,
    ): Either<PlatformError, A> {
        val request =
            builder(path, timeoutMillis)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json.encodeToString(body.serializer, body.value)))
                .build()
        return exchange(request).flatMap { decode(answer, it) }
    }

    /** Gets [path] and decodes the answer by [answer]. */
    suspend fun <A> get(
        path: String,
        answer: DeserializationStrategy<A>,
        timeoutMillis: Long,
    ): Either<PlatformError, A> = exchange(builder(path, timeoutMillis).GET().build()).flatMap { decode(answer, it) }

    private fun builder(
        path: String,
        timeoutMillis: Long,
    ): HttpRequest.Builder =
        HttpRequest
            .newBuilder(URI.create("$base$path"))
            .timeout(Duration.ofMillis(timeoutMillis))

    private suspend fun exchange(request: HttpRequest): Either<PlatformError, String> =
        client
            .exchange(request, HttpResponse.BodyHandlers.ofString())
            .mapLeft(::withoutAnswer)
            .flatMap { if (it.statusCode() == STATUS_OK) it.body().right() else refusal(it).left() }

    private fun withoutAnswer(failure: HttpFailure): PlatformError =
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
            PlatformError.NoAnswer("the answer is not as agreed: ${cause.message}").left()
        }
}

/** A value with its serializer. */
internal class Typed<T>(
    val value: T,
    val serializer: SerializationStrategy<T>,
)
