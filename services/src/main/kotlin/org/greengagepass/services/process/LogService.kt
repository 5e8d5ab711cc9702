/*
 * The platform's append-only log. Streams are named, offsets increase by one with each append, and old records expire.
 */
package org.greengagepass.services.process

import arrow.core.Either

/** Access to the platform's log. */
public interface LogService {
    /**
     * Appends [payload] to [stream] and returns its offset. After a failure the record may or may not be in the log;
     * reading the stream is the only way to find out.
     */
    public suspend fun append(
        stream: String,
        payload: ByteArray,
    ): Either<PlatformError, Long>

    /**
     * Reads records of [stream] from [fromOffset] on. If there are none yet, waits up to [waitMillis] for one. The
     * page is empty if none came, which confirms that the head has not moved.
     */
    public suspend fun read(
        stream: String,
        fromOffset: Long,
        waitMillis: Long,
    ): Either<PlatformError, LogPage>
}

/** Records of a stream and its bounds at the time of reading. */
public data class LogPage(
    val records: List<LogRecord>,
    val nextOffset: Long,
    val oldestOffset: Long,
)

/** One record of a stream. */
public class LogRecord(
    public val offset: Long,
    public val payload: ByteArray,
)

/** Why an operation of the platform failed. */
public sealed class PlatformError {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** There was no response, or a malformed one; the operation may have taken effect. */
    public data class NoAnswer(
        override val detail: String,
    ) : PlatformError()

    /** The platform refused the operation, which had no effect. */
    public data class Refused(
        override val detail: String,
        val reason: RefusalReason,
    ) : PlatformError()
}

/** Why the platform refused an operation. */
public enum class RefusalReason {
    UNAVAILABLE,
    STALE_INCARNATION,
    STALE_TOKEN,
    DEADLINE_PASSED,
    NO_CAPACITY,
    NOT_FOUND,
    INVALID,
}
