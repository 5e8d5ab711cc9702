/*
 * Snapshots as records of the stream of snapshots. A snapshot is larger than a record of the log may be, so it is
 * split into chunks, which other writers' chunks may come between.
 */
package org.greengagepass.core.version

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import org.greengagepass.core.BatchError
import org.greengagepass.core.ResultCode

/** Part [index] of [count] of the snapshot [number] of [writer]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ConfigurationChunk(
    public val writer: String,
    public val number: Long,
    public val index: Int,
    public val count: Int,
    @ByteString public val bytes: ByteArray,
)

/** Splits snapshots of one writer into payloads of log records. */
@OptIn(ExperimentalSerializationApi::class)
public object ConfigurationChunks {
    /** Most bytes of a snapshot in one chunk, which leaves room for the rest of a log record of 1 MiB. */
    public const val CHUNK_BYTES_MAXIMUM: Int = 500_000

    /** Most chunks of a snapshot; larger counts are taken for damage. */
    public const val CHUNKS_MAXIMUM: Int = 64

    internal val format = Cbor { ignoreUnknownKeys = true }

    /** The payloads of [snapshot], to be appended in order. [number] differs for each snapshot of [writer]. */
    public fun split(
        snapshot: ConfigurationSnapshot,
        writer: String,
        number: Long,
    ): List<ByteArray> {
        val whole = format.encodeToByteArray(ConfigurationSnapshot.serializer(), snapshot)
        val count = (whole.size + CHUNK_BYTES_MAXIMUM - 1) / CHUNK_BYTES_MAXIMUM
        return (0 until count).map { index ->
            val from = index * CHUNK_BYTES_MAXIMUM
            val bytes = whole.copyOfRange(from, minOf(from + CHUNK_BYTES_MAXIMUM, whole.size))
            format.encodeToByteArray(
                ConfigurationChunk.serializer(),
                ConfigurationChunk(writer, number, index, count, bytes),
            )
        }
    }
}

/** Puts snapshots together from the records of the stream, read in order. Keeps one unfinished one for each writer. */
public class ConfigurationAssembler {
    private val unfinished = LinkedHashMap<String, List<ConfigurationChunk>>()

    /** Takes the next record. Gives a snapshot when its last chunk has come, null before, or why it is no chunk. */
    public fun add(payload: ByteArray): Either<BatchError, ConfigurationSnapshot?> =
        when (val chunk = decode(ConfigurationChunk.serializer(), payload)) {
            is Either.Left -> chunk
            is Either.Right -> add(chunk.value)
        }

    private fun add(chunk: ConfigurationChunk): Either<BatchError, ConfigurationSnapshot?> {
        val chunks = unfinished.remove(chunk.writer).orEmpty() + chunk
        val isInOrder =
            chunk.count in 1..ConfigurationChunks.CHUNKS_MAXIMUM &&
                chunks.withIndex().all { (index, it) -> it.index == index && it.isOfSameSnapshot(chunk) }
        return when {
            !isInOrder && chunk.index == 0 && chunks.size > 1 -> add(chunk)
            !isInOrder -> BatchError(ResultCode.MALFORMED, "chunk ${chunk.index} does not follow").left()
            chunks.size < chunk.count -> keep(chunk.writer, chunks)
            else -> decode(ConfigurationSnapshot.serializer(), chunks.map { it.bytes }.reduce(ByteArray::plus))
        }
    }

    private fun keep(
        writer: String,
        chunks: List<ConfigurationChunk>,
    ): Either<BatchError, ConfigurationSnapshot?> {
        unfinished[writer] = chunks
        if (unfinished.size > WRITERS_MAXIMUM) {
            unfinished.remove(unfinished.keys.first())
        }
        return null.right()
    }

    private fun ConfigurationChunk.isOfSameSnapshot(other: ConfigurationChunk): Boolean =
        number == other.number && count == other.count

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): Either<BatchError, T> =
        Either
            .catchOrThrow<RuntimeException, T> { ConfigurationChunks.format.decodeFromByteArray(serializer, bytes) }
            .mapLeft { BatchError(ResultCode.MALFORMED, "no chunk of a snapshot: ${it.message}") }

    public companion object {
        /** Writers whose unfinished snapshots are kept. */
        public const val WRITERS_MAXIMUM: Int = 4
    }
}
