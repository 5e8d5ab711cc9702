/*
 * The records behind the agent's memory of requests: found by identifier, forgotten in the order of their
 * deadlines, and with a bound on the answers they keep.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import java.util.PriorityQueue

/**
 * Records outlive their deadline by this much, so that a dispatch that arrives just after its deadline can still be
 * proven not to have run and is answered. Later ones are ignored.
 */
internal const val RETENTION_MARGIN_MILLIS = 5_000L

internal fun isForgotten(
    deadline: Timestamp,
    now: Timestamp,
): Boolean = now >= deadline.plusMillis(RETENTION_MARGIN_MILLIS)

internal class HandledRecords(
    private val answerCharactersMaximum: Long,
) {
    private val records = HashMap<RequestId, HandledRecord>()
    private val byDeadline = PriorityQueue<HandledRecord>(compareBy { it.deadline })
    private val waiting = PriorityQueue(compareBy<HandledRecord> { it.deadline }.thenBy { it.requestId.value })
    private val keptAnswers = LinkedHashMap<RequestId, HandledRecord>()
    private var keptCharacters: Long = 0

    val size: Int
        get() = records.size

    /** Records that are no tombstones. */
    var requests: Int = 0
        private set

    /** Requests without an outcome. */
    var unfinished: Int = 0
        private set

    operator fun get(requestId: RequestId): HandledRecord? = records[requestId]

    fun add(record: HandledRecord) {
        records[record.requestId] = record
        byDeadline.add(record)
        if (record.phase != HandledPhase.TOMBSTONED) {
            requests++
            unfinished++
            waiting.add(record)
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
            keptCharacters += characters(outcome)
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
            keptCharacters -= characters(record.outcome)
        }
    }

    fun forgetBefore(now: Timestamp) {
        while (byDeadline.isNotEmpty() && isForgotten(byDeadline.peek().deadline, now)) {
            val record = byDeadline.remove()
            if (record.isEnded) forget(record) else record.isOverdue = true
        }
    }

    private fun forget(record: HandledRecord) {
        records.remove(record.requestId)
        dropAnswer(record)
        if (record.phase != HandledPhase.TOMBSTONED) {
            requests--
        }
    }

    /** Takes the requests out of the waiting line whose deadline has passed and which have not started. */
    fun waitingPast(now: Timestamp): List<HandledRecord> {
        val expired = mutableListOf<HandledRecord>()
        while (waiting.isNotEmpty() && waiting.peek().deadline <= now) {
            waiting.remove().takeIf { it.phase == HandledPhase.RECEIVED }?.let { expired.add(it) }
        }
        return expired
    }
}
