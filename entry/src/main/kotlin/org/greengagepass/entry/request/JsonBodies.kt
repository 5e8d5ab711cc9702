/*
 * Reads JSON bodies. A body that is too large, is not JSON, or has an unknown field or a wrong type gives a numbered
 * error with a sentence that says what to change.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.core.remaining
import io.ktor.utils.io.readRemaining
import kotlinx.io.readString
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.greengagepass.core.ResultCode

/** Maximum size of the body of a call. */
public const val BODY_BYTES_MAXIMUM: Long = 262_144

/** The JSON format of the HTTP interface. */
public val apiJson: Json =
    Json {
        encodeDefaults = true
        explicitNulls = false
    }

/** Reads the body of this call as a [T]. */
public suspend fun <T> ApplicationCall.receiveJson(serializer: KSerializer<T>): Either<ApiError, T> {
    val declared = request.contentLength() ?: 0
    return if (declared > BODY_BYTES_MAXIMUM) tooLarge().left() else readBody().flatMap { decodeJson(serializer, it) }
}

private suspend fun ApplicationCall.readBody(): Either<ApiError, String> {
    val packet = receiveChannel().readRemaining(BODY_BYTES_MAXIMUM + 1)
    return if (packet.remaining > BODY_BYTES_MAXIMUM) tooLarge().left() else packet.readString().right()
}

/** Reads [text] as a [T]. */
public fun <T> decodeJson(
    serializer: KSerializer<T>,
    text: String,
): Either<ApiError, T> =
    try {
        apiJson.decodeFromString(serializer, text).right()
    } catch (cause: SerializationException) {
        malformed(cause).left()
    } catch (cause: IllegalArgumentException) {
        ApiError(ResultCode.INVALID_VALUE, "a value is not allowed: ${firstLine(cause)}").left()
    }

private fun tooLarge(): ApiError =
    ApiError(ResultCode.TOO_LARGE, "the body is too large; at most $BODY_BYTES_MAXIMUM bytes are allowed")

private fun malformed(cause: SerializationException): ApiError {
    val line = firstLine(cause)
    val code = if (UNKNOWN_KEY in line) ResultCode.UNKNOWN_FIELD else ResultCode.MALFORMED
    return ApiError(code, "the body is not valid for this call: $line")
}

private fun firstLine(cause: Exception): String =
    cause.message
        .orEmpty()
        .lineSequence()
        .first()

/** Part of the JSON library's message about a field that the type does not have. */
private const val UNKNOWN_KEY = "unknown key"
