/*
 * Encoding of messages as CBOR. Bytes that are no valid message give a typed error, never an exception, since they
 * may come from a peer of another version or from a broken link.
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

/** Most bytes in one frame; a longer one closes the connection. */
public const val FRAME_BYTES_MAXIMUM: Int = 1_048_576

/** Why a frame could not be read. */
public data class CodecError(
    val code: ResultCode,
    val detail: String,
)

/** Turns messages of one type into the bytes of a frame and back. */
@OptIn(ExperimentalSerializationApi::class)
public class MessageCodec<T>(
    private val serializer: KSerializer<T>,
) {
    private val format = Cbor { ignoreUnknownKeys = true }

    /** The bytes of [message]. */
    public fun encode(message: T): ByteArray = format.encodeToByteArray(serializer, message)

    /** The message in [bytes], or why there is none. */
    public fun decode(bytes: ByteArray): Either<CodecError, T> =
        Either
            .catchOrThrow<RuntimeException, T> { format.decodeFromByteArray(serializer, bytes) }
            .mapLeft { CodecError(ResultCode.MALFORMED, describe(it)) }

    private fun describe(cause: RuntimeException): String =
        when (cause) {
            is SerializationException -> "the frame is no message of this protocol: ${cause.message}"
            else -> "the frame ends early or holds no CBOR: ${cause.message}"
        }
}
