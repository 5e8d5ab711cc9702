/*
 * The streams of the log stand-in. Appended records get increasing offsets, old records expire, and readers may wait
 * for the next record.
 */
package org.greengagepass.standins.process

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.services.process.LogPageBody
import org.greengagepass.services.process.LogRecordBody
import java.util.concurrent.ConcurrentHashMap

/** Streams in memory. [clockMillis] gives the current time. */
public class LogStore(
    private val clockMillis: () -> Long,
) {
    /** Age at which records expire. */
    @Volatile
    public var retentionMillis: Long = DEFAULT_RETENTION_MILLIS

    private val streams = ConcurrentHashMap<String, Stream>()

    /** Appends [payload] to [stream] and returns its offset. */
    public fun append(
        stream: String,
        payload: String,
    ): Long = stream(stream).append(payload, clockMillis())

    /** Reads [stream] from [fromOffset] on. Waits up to [waitMillis] if there is no such record yet. */
    public suspend fun read(
        stream: String,
        fromOffset: Long,
        waitMillis: Long,
    ): LogPageBody {
        val source = stream(stream)
        withTimeoutOrNull(waitMillis) { source.nextOffset.first { it > fromOffset } }
        return source.page(fromOffset, clockMillis() - retentionMillis)
    }

    /** Returns the number of appends to each stream. */
    public fun appendCounts(): Map<String, Long> = streams.mapValues { it.value.nextOffset.value }

    private fun stream(name: String) = streams.computeIfAbsent(name) { Stream() }

    public companion object {
        /** Default retention time: one week. */
        public const val DEFAULT_RETENTION_MILLIS: Long = 7L * 24 * 60 * 60 * 1_000
    }
}

private const val PAGE_BYTES_MAXIMUM = 4_194_304

private class StoredRecord(
    val body: LogRecordBody,
    val appendedAtMillis: Long,
)

private class Stream {
    val nextOffset = MutableStateFlow(0L)
    private val records = ArrayDeque<StoredRecord>()

    @Synchronized
    fun append(
        payload: String,
        nowMillis: Long,
    ): Long {
        val offset = nextOffset.value
        records.addLast(StoredRecord(LogRecordBody(offset, payload), nowMillis))
        nextOffset.value = offset + 1
        return offset
    }

    @Synchronized
    fun page(
        fromOffset: Long,
        expiredBeforeMillis: Long,
    ): LogPageBody {
        while (records.firstOrNull()?.let { it.appendedAtMillis < expiredBeforeMillis } == true) {
            records.removeFirst()
        }
        val oldest = nextOffset.value - records.size
        val page = pageFrom((fromOffset - oldest).coerceIn(0, records.size.toLong()).toInt())
        return LogPageBody(
            records = page,
            nextOffset = page.lastOrNull()?.let { it.offset + 1 } ?: nextOffset.value,
            oldestOffset = oldest,
        )
    }

    private fun pageFrom(index: Int): List<LogRecordBody> {
        var bytes = 0
        return records.subList(index, records.size).map { it.body }.takeWhile {
            val first = bytes == 0
            bytes += it.payload.length
            first || bytes <= PAGE_BYTES_MAXIMUM
        }
    }
}
