/*
 * CBOR encoding of the batches in the log. Invalid bytes result in a typed error and never an exception, since a log
 * record can't be removed and every process must be able to skip it.
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

/** Error for a log record that does not contain a valid batch. */
public data class BatchError(
    val code: ResultCode,
    val detail: String,
)

/** Encodes batches of one type as payloads of log records, and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
public class BatchCodec<T> private constructor(
    private val serializer: KSerializer<T>,
    private val recordCount: (T) -> Int,
) {
    private val format = Cbor { ignoreUnknownKeys = true }

    /** Encodes [batch] as the payload of a log record. */
    public fun encode(batch: T): ByteArray = format.encodeToByteArray(serializer, batch)

    /** Decodes the batch in [payload], or returns an error if it is not valid. */
    public fun decode(payload: ByteArray): Either<BatchError, T> =
        if (payload.size > PAYLOAD_BYTES_MAXIMUM) {
            BatchError(ResultCode.TOO_LARGE, "${payload.size} bytes; allowed are $PAYLOAD_BYTES_MAXIMUM").left()
        } else {
            Either
                .catchOrThrow<RuntimeException, T> { format.decodeFromByteArray(serializer, payload) }
                .mapLeft { BatchError(ResultCode.MALFORMED, "not a batch of records: ${it.message}") }
                .fold({ it.left() }, ::checkCount)
        }

    private fun checkCount(batch: T): Either<BatchError, T> {
        val count = recordCount(batch)
        return if (count > FencingToken.RECORDS_PER_BATCH_MAXIMUM) {
            BatchError(ResultCode.TOO_LARGE, "$count records; at most 4096 are allowed").left()
        } else {
            batch.right()
        }
    }

    public companion object {
        /** Maximum size of a batch's log record, in bytes. */
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
