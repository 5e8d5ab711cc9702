/*
 * Encodes messages as CBOR. Invalid bytes result in a typed error, never in an exception, since they may come from a
 * peer of another version or from a faulty network.
 */
package org.greengagepass.protocol.connection

import arrow.core.Either
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.greengagepass.core.ResultCode

/** Version of the protocol between entries and agents. */
public const val PROTOCOL_VERSION: Int = 1

/** Longest frame in bytes; a longer one closes the connection. */
public const val FRAME_BYTES_MAXIMUM: Int = 1_048_576

/** Reason why a connection could not be opened or a frame could not be read. */
public data class CodecError(
    val code: ResultCode,
    val detail: String,
)

/** Converts messages of one type to the bytes of a frame and back. */
@OptIn(ExperimentalSerializationApi::class)
public class MessageCodec<T>(
    private val serializer: KSerializer<T>,
) {
    private val format = Cbor { ignoreUnknownKeys = true }

    /** Encodes [message]. */
    public fun encode(message: T): ByteArray = format.encodeToByteArray(serializer, message)

    /** Decodes [bytes], or returns why they are not a valid message. */
    public fun decode(bytes: ByteArray): Either<CodecError, T> =
        Either
            .catchOrThrow<RuntimeException, T> { format.decodeFromByteArray(serializer, bytes) }
            .mapLeft { CodecError(ResultCode.MALFORMED, describe(it)) }

    private fun describe(cause: RuntimeException): String =
        when (cause) {
            is SerializationException -> "the frame is not a message of this protocol: ${cause.message}"
            else -> "the frame is truncated or not CBOR: ${cause.message}"
        }
}
