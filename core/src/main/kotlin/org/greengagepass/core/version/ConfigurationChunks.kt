/*
 * Snapshots as records of the snapshot stream. A snapshot may exceed the maximum size of a log record, so it is split
 * into chunks. Chunks of several writers may be interleaved.
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

/** Chunk [index] of the [count] chunks of snapshot [number] of [writer]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
public class ConfigurationChunk(
    public val writer: String,
    public val number: Long,
    public val index: Int,
    public val count: Int,
    @ByteString public val bytes: ByteArray,
)

/** Splits snapshots into payloads of log records. */
@OptIn(ExperimentalSerializationApi::class)
public object ConfigurationChunks {
    /**
     * Maximum size of the part of a snapshot in one chunk, in bytes. It leaves enough space for the rest of a log
     * record of 1 MiB.
     */
    public const val CHUNK_BYTES_MAXIMUM: Int = 500_000

    /** Maximum number of chunks of a snapshot. A larger count is treated as corruption. */
    public const val CHUNKS_MAXIMUM: Int = 64

    internal val format = Cbor { ignoreUnknownKeys = true }

    /**
     * Returns the payloads of [snapshot], to be appended in order. [number] must be different for each snapshot of
     * [writer].
     */
    public fun split(
        snapshot: ConfigurationSnapshot,
        writer: String,
        number: Long,
    ): List<ByteArray> {
        val encoded = format.encodeToByteArray(ConfigurationSnapshot.serializer(), snapshot)
        val count = (encoded.size + CHUNK_BYTES_MAXIMUM - 1) / CHUNK_BYTES_MAXIMUM
        return (0 until count).map { index ->
            val from = index * CHUNK_BYTES_MAXIMUM
            val bytes = encoded.copyOfRange(from, minOf(from + CHUNK_BYTES_MAXIMUM, encoded.size))
            format.encodeToByteArray(
                ConfigurationChunk.serializer(),
                ConfigurationChunk(writer, number, index, count, bytes),
            )
        }
    }
}

/** Assembles snapshots from the records of the stream, read in order. Keeps one incomplete snapshot for each writer. */
public class ConfigurationAssembler {
    private val incomplete = LinkedHashMap<String, List<ConfigurationChunk>>()

    /**
     * Adds the next record. Returns the snapshot if the record is its last chunk, null for any earlier chunk, or an
     * error if the record is not a valid chunk.
     */
    public fun add(payload: ByteArray): Either<BatchError, ConfigurationSnapshot?> =
        when (val chunk = decode(ConfigurationChunk.serializer(), payload)) {
            is Either.Left -> chunk
            is Either.Right -> add(chunk.value)
        }

    private fun add(chunk: ConfigurationChunk): Either<BatchError, ConfigurationSnapshot?> {
        val chunks = incomplete.remove(chunk.writer).orEmpty() + chunk
        val isInOrder =
            chunk.count in 1..ConfigurationChunks.CHUNKS_MAXIMUM &&
                chunks.withIndex().all { (index, it) -> it.index == index && it.isOfSameSnapshot(chunk) }
        return when {
            !isInOrder && chunk.index == 0 && chunks.size > 1 -> add(chunk)
            !isInOrder -> BatchError(ResultCode.MALFORMED, "chunk ${chunk.index} is out of order").left()
            chunks.size < chunk.count -> keep(chunk.writer, chunks)
            else -> decode(ConfigurationSnapshot.serializer(), chunks.map { it.bytes }.reduce(ByteArray::plus))
        }
    }

    private fun keep(
        writer: String,
        chunks: List<ConfigurationChunk>,
    ): Either<BatchError, ConfigurationSnapshot?> {
        incomplete[writer] = chunks
        if (incomplete.size > WRITERS_MAXIMUM) {
            incomplete.remove(incomplete.keys.first())
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
            .mapLeft { BatchError(ResultCode.MALFORMED, "not a chunk of a snapshot: ${it.message}") }

    public companion object {
        /** Maximum number of writers whose incomplete snapshots are kept. */
        public const val WRITERS_MAXIMUM: Int = 4
    }
}
