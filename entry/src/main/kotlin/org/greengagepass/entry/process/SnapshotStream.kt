/*
 * A stream of the log that holds snapshots of another stream. Snapshots expire like all records, so new ones are
 * written before. A new process reads the newest complete one.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.BatchError
import org.greengagepass.services.process.LogRecord
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError

/** Reads and writes [stream]. */
public class SnapshotStream(
    private val log: LogService,
    private val stream: String,
) {
    /** Passes all records to [onRecord], oldest first. [onRecord] returns an error for an unreadable record. */
    public suspend fun readAll(onRecord: (ByteArray) -> Either<BatchError, Unit>): Either<PlatformError, Unit> {
        var nextOffset = 0L
        while (true) {
            when (val page = log.read(stream, nextOffset, waitMillis = 0)) {
                is Either.Left -> return page.value.left()

                is Either.Right -> {
                    page.value.records.forEach { record ->
                        onRecord(record.payload).onLeft { logUnreadable(record, it) }
                    }
                    if (page.value.records.isEmpty()) return Unit.right()
                    nextOffset = page.value.nextOffset
                }
            }
        }
    }

    /** Appends [chunks] in order. Stops at the first failed append; the next snapshot replaces the incomplete one. */
    public suspend fun write(chunks: List<ByteArray>) {
        val failure = chunks.firstNotNullOfOrNull { log.append(stream, it).leftOrNull() }
        if (failure != null) {
            logger.warn("the snapshot in {} is incomplete: {}", stream, failure.detail)
        }
    }

    private fun logUnreadable(
        record: LogRecord,
        error: BatchError,
    ) {
        logger.error("unreadable record in {} at offset {}: {}", stream, record.offset, error.detail)
    }

    private companion object {
        private val logger = LogManager.getLogger(SnapshotStream::class.java)
    }
}
