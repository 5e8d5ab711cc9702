/*
 * Client of an entry's HTTP interface, for the operators' commands.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.header
import io.ktor.client.request.parameter
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.appendPathSegments
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.http.takeFrom
import kotlinx.io.IOException
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.request.ApiResult
import org.greengagepass.entry.request.apiJson
import java.nio.channels.UnresolvedAddressException

/** A call of the HTTP interface. */
public data class EntryCall(
    val method: HttpMethod,
    val path: List<String>,
    val query: Map<String, String> = emptyMap(),
    val body: JsonObject? = null,
    val idempotencyKey: String? = null,
)

/** What went wrong with a call: a numbered result of the entry, or null if no entry answered. */
public data class CallFailure(
    val result: ApiResult?,
    val detail: String,
)

/** Calls the entry at [url]. */
public class EntryClient(
    private val url: String,
    private val token: String?,
    private val operator: String,
) : AutoCloseable {
    private val http =
        HttpClient(CIO) {
            expectSuccess = false
            install(HttpTimeout) {
                connectTimeoutMillis = CONNECT_MILLIS
                requestTimeoutMillis = REQUEST_MILLIS
            }
        }

    /** Sends [call] and returns the body of the answer. */
    public suspend fun send(call: EntryCall): Either<CallFailure, JsonObject> =
        try {
            respond(exchange(call))
        } catch (cause: IOException) {
            unreachable(cause).left()
        } catch (cause: UnresolvedAddressException) {
            unreachable(cause).left()
        }

    /** Reads all pages of the list at [path] and returns the items. */
    public suspend fun list(path: List<String>): Either<CallFailure, List<JsonObject>> {
        val items = ArrayList<JsonObject>()
        var after: String? = ""
        while (after != null) {
            val query = mapOf("after" to after).filterValues { it.isNotEmpty() }
            when (val page = send(EntryCall(HttpMethod.Get, path, query))) {
                is Either.Left -> return page
                is Either.Right -> {
                    items += (page.value["items"] as? List<*>).orEmpty().filterIsInstance<JsonObject>()
                    after = (page.value["next"] as? JsonPrimitive)?.content
                }
            }
        }
        return items.right()
    }

    override fun close() {
        http.close()
    }

    private suspend fun exchange(call: EntryCall): HttpResponse =
        http.request {
            method = call.method
            url.takeFrom(this@EntryClient.url)
            url.appendPathSegments(call.path, encodeSlash = true)
            call.query.forEach { (name, value) -> parameter(name, value) }
            header("Operator", operator)
            token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
            call.idempotencyKey?.let { header("Idempotency-Key", it) }
            call.body?.let {
                contentType(ContentType.Application.Json)
                setBody(it.toString())
            }
        }

    private suspend fun respond(response: HttpResponse): Either<CallFailure, JsonObject> {
        val text = response.bodyAsText()
        return try {
            if (response.status.isSuccess()) {
                apiJson.decodeFromString(JsonObject.serializer(), text).right()
            } else {
                val result = apiJson.decodeFromString(ApiResult.serializer(), text)
                CallFailure(result, "${result.code} ${result.name}: ${result.detail}").left()
            }
        } catch (cause: SerializationException) {
            CallFailure(
                result = null,
                "the answer of $url with status ${response.status} is not that of an entry: ${cause.message}",
            ).left()
        }
    }

    private fun unreachable(cause: Exception): CallFailure =
        CallFailure(result = null, "no answer from $url: ${cause.message ?: cause::class.simpleName}")

    private companion object {
        private const val CONNECT_MILLIS = 3_000L

        /** Longer than the 5 s for which an entry waits until a change is read back. */
        private const val REQUEST_MILLIS = 15_000L
    }
}

/** Exit code of a command whose call failed. It shows whether the change may have happened. */
public fun CallFailure.exitCode(): Int =
    when (val code = result?.code) {
        null, ResultCode.INTERNAL.number -> EXIT_CODE_NO_ANSWER
        else ->
            when (result.outcome) {
                "notRun" -> EXIT_CODE_NOT_RUN
                "unknown" -> EXIT_CODE_UNKNOWN
                else -> EXIT_CODE_RAN.takeIf { code > 0 } ?: EXIT_CODE_NO_ANSWER
            }
    }

/** The entry refused the call, and nothing was changed. */
public const val EXIT_CODE_NOT_RUN: Int = 3

/** The work ran and failed. */
public const val EXIT_CODE_RAN: Int = 4

/** Whether the work ran is unknown; repeat the command with the same idempotency key. */
public const val EXIT_CODE_UNKNOWN: Int = 5

/** No entry answered, or the entry failed. */
public const val EXIT_CODE_NO_ANSWER: Int = 6
