/*
 * The entry's copy of the configuration, and changes to it. A change is accepted once its record has been read back
 * from the log; the answer to the append does not count.
 */
package org.greengagepass.entry.version

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.ConfigurationFreshness
import org.greengagepass.core.version.ConfigurationRecord
import org.greengagepass.core.version.ConfigurationState
import org.greengagepass.core.version.ConfigurationView
import org.greengagepass.core.version.FoldResult
import org.greengagepass.core.version.OperatorKey
import org.greengagepass.core.version.RecordResult
import org.greengagepass.core.version.Verdict
import org.greengagepass.entry.process.StreamAppender
import org.greengagepass.entry.request.ApiError
import org.greengagepass.services.process.LogPage

/** Stream of the log that holds the configuration. */
public const val CONFIGURATION_STREAM: String = "configuration"

/** Applies configuration records and publishes changes. Confined to the process's decision dispatcher. */
public class ConfigurationService(
    private val appender: StreamAppender<ConfigurationRecord>,
    private val onChange: (ConfigurationView) -> Unit = {},
) {
    private val state = ConfigurationState()
    private val waiting = HashMap<OperatorKey, CompletableDeferred<Verdict>>()

    /** Freshness of the view, which decides whether tasks may start. */
    public val freshness: ConfigurationFreshness = ConfigurationFreshness()

    /** False while reads of the log fail. */
    public var isLogAvailable: Boolean = false
        private set

    /** The configuration that is in force at this entry. */
    public val view: ConfigurationView
        get() = state.view

    /** The complete state, for snapshots. */
    public val completeState: ConfigurationState
        get() = state

    /** Applies the records of [page], whose read was sent at [readSentAt]. */
    public fun onPage(
        page: LogPage,
        readSentAt: Timestamp,
    ) {
        isLogAvailable = true
        val versionBefore = view.version
        if (state.continueAfterExpiry(page.oldestOffset)) {
            logger.error("configuration records before offset {} expired before they were read", page.oldestOffset)
        }
        page.records.forEach { applyRecord(it.offset, it.payload) }
        freshness.folded(state.head)
        freshness.readReturned(readSentAt, FencingToken.of(page.nextOffset, index = 0))
        if (view.version > versionBefore) {
            onChange(view)
        }
    }

    /** A read of the log failed. */
    public fun onReadFailed() {
        isLogAvailable = false
    }

    /** Appends [record], waits until it is read back, and returns the version that it has created. */
    public suspend fun publish(record: ConfigurationRecord): Either<ApiError, FencingToken> {
        val verdict = waiting.getOrPut(record.operatorKey()) { CompletableDeferred() }
        return when {
            !isLogAvailable -> refuse(record, ResultCode.LOG_UNAVAILABLE, "the log is unavailable").left()
            !appender.enqueue(record) -> refuse(record, ResultCode.OVERLOADED, "too many changes are queued").left()
            else -> awaitVerdict(record, verdict)
        }
    }

    private suspend fun awaitVerdict(
        record: ConfigurationRecord,
        verdict: CompletableDeferred<Verdict>,
    ): Either<ApiError, FencingToken> {
        val decided = withTimeoutOrNull(CONFIRMATION_MILLIS) { verdict.await() }
        waiting.remove(record.operatorKey(), verdict)
        return decided?.toResult() ?: notConfirmed().left()
    }

    private fun refuse(
        record: ConfigurationRecord,
        code: ResultCode,
        reason: String,
    ): ApiError {
        waiting.remove(record.operatorKey())
        return ApiError(code, "$reason; nothing was changed")
    }

    private fun applyRecord(
        offset: Long,
        payload: ByteArray,
    ) {
        when (val batch = BatchCodec.CONFIGURATION.decode(payload)) {
            is Either.Left -> {
                logger.error("unreadable configuration record at offset {}: {}", offset, batch.value)
                state.skipUnreadable(offset)
            }

            is Either.Right -> (state.fold(offset, batch.value) as? FoldResult.Folded)?.records?.forEach(::report)
        }
    }

    private fun report(result: RecordResult) {
        logger.info("configuration record {} by {}: {}", result.position, result.record.operator, result.verdict)
        waiting[result.record.operatorKey()]?.complete(result.verdict)
    }

    private fun notConfirmed(): ApiError =
        ApiError(
            ResultCode.APPEND_NOT_CONFIRMED,
            "the change was not confirmed in time; repeat it with the same idempotency key to get its outcome",
        )

    private companion object {
        private val logger = LogManager.getLogger(ConfigurationService::class.java)

        /** Less than the 6 s within which a change must be in force at all entries. */
        private const val CONFIRMATION_MILLIS = 5_000L
    }
}

private fun ConfigurationRecord.operatorKey(): OperatorKey = OperatorKey(operator, idempotencyKey)

private fun Verdict.toResult(): Either<ApiError, FencingToken> =
    when (this) {
        is Verdict.Accepted -> version.right()

        is Verdict.Conflict ->
            ApiError(
                ResultCode.VERSION_CONFLICT,
                "version ${expectedVersion.value} was expected, but ${actualVersion.value} is in force; read it again",
            ).left()

        is Verdict.Repeated -> first.toResult()
    }
