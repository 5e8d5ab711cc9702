/*
 * A stream of the log that holds snapshots of another one. Snapshots expire like all records, so they are written
 * again in time; a new process reads the newest whole one.
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
    /** Hands every record to [onRecord], oldest first, up to the head; it gives an error for an unreadable one. */
    public suspend fun readAll(onRecord: (ByteArray) -> Either<BatchError, Unit>): Either<PlatformError, Unit> {
        var nextOffset = 0L
        while (true) {
            when (val page = log.read(stream, nextOffset, waitMillis = 0)) {
                is Either.Left -> return page.value.left()

                is Either.Right -> {
                    page.value.records.forEach { record -> onRecord(record.payload).onLeft { warn(record, it) } }
                    if (page.value.records.isEmpty()) return Unit.right()
                    nextOffset = page.value.nextOffset
                }
            }
        }
    }

    /** Appends [chunks] in order; stops at the first that is not answered, and the next snapshot replaces it. */
    public suspend fun write(chunks: List<ByteArray>) {
        val failure = chunks.firstNotNullOfOrNull { log.append(stream, it).leftOrNull() }
        if (failure != null) {
            logger.warn("snapshot to {} was not completed: {}", stream, failure.detail)
        }
    }

    private fun warn(
        record: LogRecord,
        error: BatchError,
    ) {
        logger.error("{} offset {}: {}", stream, record.offset, error.detail)
    }

    private companion object {
        private val logger = LogManager.getLogger(SnapshotStream::class.java)
    }
}
