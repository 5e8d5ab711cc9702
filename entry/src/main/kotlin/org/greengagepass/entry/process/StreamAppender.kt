/*
 * Appends records to one stream of the log in batches. All records queued within a window go into one append, so that
 * the number of appends depends on the number of processes and not on the load. A batch whose append failed is appended
 * again with the same sequence number; readers drop the duplicate.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.FencingToken
import org.greengagepass.services.process.LogService

/** Batches records of type [R] for [stream]. */
public class StreamAppender<R>(
    private val log: LogService,
    private val stream: String,
    private val windowMillis: Long,
    private val encode: (sequence: Long, records: List<R>) -> ByteArray,
) {
    private val queue = Channel<R>(QUEUED_RECORDS_MAXIMUM)
    private var sequence = 0L

    /** Queues [record]. Returns false if the queue is full; the record is then not written. */
    public fun enqueue(record: R): Boolean = queue.trySend(record).isSuccess

    /** Writes queued records until the coroutine is cancelled or the queue is closed and empty. */
    public suspend fun run() {
        for (first in queue) {
            delay(windowMillis)
            appendUntilAnswered(collectBatch(first))
        }
    }

    /** Accepts no more records. [run] returns once the queued ones are written. */
    public fun close() {
        queue.close()
    }

    private fun collectBatch(first: R): List<R> =
        buildList {
            add(first)
            while (size < FencingToken.RECORDS_PER_BATCH_MAXIMUM) {
                add(queue.tryReceive().getOrNull() ?: break)
            }
        }

    private suspend fun appendUntilAnswered(records: List<R>) {
        sequence += 1
        val payload = encode(sequence, records)
        var retryDelayMillis = FIRST_RETRY_DELAY_MILLIS
        while (true) {
            when (val answer = log.append(stream, payload)) {
                is Either.Right -> return
                is Either.Left -> logger.warn("append to {} failed: {}", stream, answer.value.detail)
            }
            delay(retryDelayMillis)
            retryDelayMillis = (retryDelayMillis * 2).coerceAtMost(LAST_RETRY_DELAY_MILLIS)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(StreamAppender::class.java)

        /** Bounds the memory that records take during an outage of the log. */
        private const val QUEUED_RECORDS_MAXIMUM = 10_000
        private const val FIRST_RETRY_DELAY_MILLIS = 50L
        private const val LAST_RETRY_DELAY_MILLIS = 1_000L
    }
}
