/*
 * A log in memory for tests.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.delay
import org.greengagepass.services.process.LogPage
import org.greengagepass.services.process.LogRecord
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError
import java.util.concurrent.CopyOnWriteArrayList

/** Holds one stream. */
internal class MemoryLog : LogService {
    private val records = CopyOnWriteArrayList<LogRecord>()

    /** Number of appends so far. */
    val appends: Int
        get() = records.size

    override suspend fun append(
        stream: String,
        payload: ByteArray,
    ): Either<PlatformError, Long> {
        records += LogRecord(records.size.toLong(), payload)
        return (records.size - 1L).right()
    }

    override suspend fun read(
        stream: String,
        fromOffset: Long,
        waitMillis: Long,
    ): Either<PlatformError, LogPage> {
        if (records.size <= fromOffset) delay(POLL_MILLIS)
        val page = records.drop(fromOffset.toInt())
        return LogPage(records = page, nextOffset = fromOffset + page.size, oldestOffset = 0).right()
    }

    private companion object {
        private const val POLL_MILLIS = 5L
    }
}
