/*
 * Encoding of the batches in the log as CBOR. Bytes that hold no batch give a typed error and never an exception,
 * since a record of the log can't be taken back and every process has to get past it.
 */
package org.greengagepass.core

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor
import org.greengagepass.core.process.SnapshotChunk
import org.greengagepass.core.process.TaskBatch
import org.greengagepass.core.version.ConfigurationBatch

/** Why a log record holds no batch. */
public data class BatchError(
    val code: ResultCode,
    val detail: String,
)

/** Turns batches of one type into the payload of a log record and back. */
@OptIn(ExperimentalSerializationApi::class)
public class BatchCodec<T> private constructor(
    private val serializer: KSerializer<T>,
    private val recordCount: (T) -> Int,
) {
    private val format = Cbor { ignoreUnknownKeys = true }

    /** The payload of [batch]. */
    public fun encode(batch: T): ByteArray = format.encodeToByteArray(serializer, batch)

    /** The batch in [payload], or why there is none. */
    public fun decode(payload: ByteArray): Either<BatchError, T> =
        if (payload.size > PAYLOAD_BYTES_MAXIMUM) {
            BatchError(ResultCode.TOO_LARGE, "${payload.size} bytes; allowed are $PAYLOAD_BYTES_MAXIMUM").left()
        } else {
            Either
                .catchOrThrow<RuntimeException, T> { format.decodeFromByteArray(serializer, payload) }
                .mapLeft { BatchError(ResultCode.MALFORMED, "no batch of records: ${it.message}") }
                .fold({ it.left() }, ::checkCount)
        }

    private fun checkCount(batch: T): Either<BatchError, T> {
        val count = recordCount(batch)
        return if (count > FencingToken.RECORDS_PER_BATCH_MAXIMUM) {
            BatchError(ResultCode.TOO_LARGE, "$count records; a position has room for 4096").left()
        } else {
            batch.right()
        }
    }

    public companion object {
        /** Most bytes of a log record that is read as a batch. */
        public const val PAYLOAD_BYTES_MAXIMUM: Int = 1_048_576

        /** Codec of the stream `configuration`. */
        public val CONFIGURATION: BatchCodec<ConfigurationBatch> =
            BatchCodec(ConfigurationBatch.serializer()) { it.records.size }

        /** Codec of the streams `tasks-<partition>`. */
        public val TASKS: BatchCodec<TaskBatch> = BatchCodec(TaskBatch.serializer()) { it.records.size }

        /** Codec of the streams `tasks-<partition>-snapshots`. */
        public val TASK_SNAPSHOTS: BatchCodec<SnapshotChunk> =
            BatchCodec(SnapshotChunk.serializer()) { it.records.size }
    }
}
