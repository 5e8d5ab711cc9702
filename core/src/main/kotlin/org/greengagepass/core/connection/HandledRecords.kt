/*
 * The agent's records of requests, indexed by identifier and removed in the order of their deadlines. The total size
 * of the answers that they keep is limited.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import java.util.PriorityQueue

/**
 * Time for which a record is kept after its deadline, so that a dispatch that arrives shortly after its deadline can
 * still be answered as provably not run. Later dispatches are ignored.
 */
internal const val RETENTION_MARGIN_MILLIS = 5_000L

internal fun isRetentionOver(
    deadline: Timestamp,
    now: Timestamp,
): Boolean = now >= deadline.plusMillis(RETENTION_MARGIN_MILLIS)

internal class HandledRecords(
    private val answerCharactersMaximum: Long,
) {
    private val records = HashMap<RequestId, HandledRecord>()
    private val byDeadline = PriorityQueue<HandledRecord>(compareBy { it.deadline })
    private val queued = PriorityQueue(compareBy<HandledRecord> { it.deadline }.thenBy { it.requestId.value })
    private val keptAnswers = LinkedHashMap<RequestId, HandledRecord>()
    private var keptCharacters: Long = 0

    val size: Int
        get() = records.size

    /** Number of records that are not tombstones. */
    var requests: Int = 0
        private set

    /** Number of requests without an outcome. */
    var unfinished: Int = 0
        private set

    operator fun get(requestId: RequestId): HandledRecord? = records[requestId]

    fun add(record: HandledRecord) {
        records[record.requestId] = record
        byDeadline.add(record)
        if (record.phase != HandledPhase.TOMBSTONED) {
            requests++
            unfinished++
            queued.add(record)
        }
    }

    fun end(
        record: HandledRecord,
        outcome: RequestOutcome,
    ): RequestOutcome {
        unfinished--
        record.phase = HandledPhase.ANSWERED
        record.outcome = outcome
        if (record.isOverdue) {
            byDeadline.add(record)
        }
        if (outcome is RequestOutcome.Ran) {
            keptAnswers[record.requestId] = record
            keptCharacters += answerCharacters(outcome)
            dropOldAnswers()
        }
        return outcome
    }

    private fun dropOldAnswers() {
        while (keptCharacters > answerCharactersMaximum) {
            val oldest = keptAnswers.values.first()
            dropAnswer(oldest)
            oldest.outcome = ANSWER_DROPPED
        }
    }

    private fun dropAnswer(record: HandledRecord) {
        if (keptAnswers.remove(record.requestId) != null) {
            keptCharacters -= answerCharacters(record.outcome)
        }
    }

    fun removeExpired(now: Timestamp) {
        while (byDeadline.isNotEmpty() && isRetentionOver(byDeadline.peek().deadline, now)) {
            val record = byDeadline.remove()
            if (record.isEnded) remove(record) else record.isOverdue = true
        }
    }

    private fun remove(record: HandledRecord) {
        records.remove(record.requestId)
        dropAnswer(record)
        if (record.phase != HandledPhase.TOMBSTONED) {
            requests--
        }
    }

    /** Removes and returns the queued requests whose deadline has passed before they started. */
    fun takeOverdue(now: Timestamp): List<HandledRecord> {
        val expired = mutableListOf<HandledRecord>()
        while (queued.isNotEmpty() && queued.peek().deadline <= now) {
            queued.remove().takeIf { it.phase == HandledPhase.RECEIVED }?.let { expired.add(it) }
        }
        return expired
    }
}
