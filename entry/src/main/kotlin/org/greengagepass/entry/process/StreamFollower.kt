/*
 * Reads one stream of the log from an offset on and passes each page to a handler, together with the time at which the
 * read was sent. Empty pages are passed too: they prove that there was no newer record at that time.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Timestamp
import org.greengagepass.services.process.LogPage
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError

/** Reads [stream] from [fromOffset] on. */
public class StreamFollower(
    private val log: LogService,
    private val stream: String,
    private val clock: MonotonicClock,
    private var fromOffset: Long = 0,
    private val onFailure: (PlatformError) -> Unit = {},
    private val onPage: suspend (LogPage, readSentAt: Timestamp) -> Unit,
) {
    /** Reads until the coroutine is cancelled. */
    public suspend fun run(): Unit = runWhile { true }

    /** Reads while [condition] holds. It is evaluated before each read. */
    public suspend fun runWhile(condition: () -> Boolean) {
        while (condition()) {
            readOnce()
        }
    }

    private suspend fun readOnce() {
        val readSentAt = clock.now()
        when (val answer = log.read(stream, fromOffset, LONG_POLL_MILLIS)) {
            is Either.Left -> {
                logger.warn("read of {} failed: {}", stream, answer.value.detail)
                onFailure(answer.value)
                delay(RETRY_DELAY_MILLIS)
            }

            is Either.Right -> {
                onPage(answer.value, readSentAt)
                fromOffset = answer.value.nextOffset
            }
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(StreamFollower::class.java)

        /** A view is up to two polls old, and starts need one of less than 3 s, so one lost read does not stop them. */
        private const val LONG_POLL_MILLIS = 500L
        private const val RETRY_DELAY_MILLIS = 200L
    }
}
