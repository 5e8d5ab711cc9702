/*
 * The queue of one writer of a stream. At most one batch is in flight: it is sent again under the same sequence until
 * it has been read back, so a batch can neither be lost nor overtaken by a later one of the same writer.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp

/** The outcome of withdrawing a record that no caller waits for any more. */
public enum class Withdrawal {
    /** The record was not sent and never will be. */
    WITHDRAWN,

    /** The record was sent and may be in the log. */
    SENT,

    /** The record is unknown: it has been read back or was never offered. */
    ABSENT,
}

/** Collects records of [writer] and decides when to append them. */
public class LogAppender(
    private val writer: String,
    private val settings: OwnerSettings,
) {
    private val queue = LinkedHashSet<TaskRecord>()
    private var inFlight: TaskBatch? = null
    private var inFlightRecords: Set<TaskRecord> = emptySet()
    private var firstSentAt = Timestamp(0)
    private var lastSentAt: Timestamp? = null
    private var nextSequence = 1L

    /** Number of records that are queued or in flight. */
    public val size: Int
        get() = queue.size + inFlightRecords.size

    /** True if [record] is queued or in flight. */
    public operator fun contains(record: TaskRecord): Boolean = record in inFlightRecords || record in queue

    /** Queues [record] unless it is queued or in flight; false if the queue is full. */
    public fun offer(record: TaskRecord): Boolean =
        when {
            record in this -> true
            queue.size >= settings.queueMaximum -> false
            else -> queue.add(record)
        }

    /** Removes [record] from the queue if it has not been sent. */
    public fun withdraw(record: TaskRecord): Withdrawal =
        when {
            record in inFlightRecords -> Withdrawal.SENT
            queue.remove(record) -> Withdrawal.WITHDRAWN
            else -> Withdrawal.ABSENT
        }

    /** Drops queued records that only an owner may write. */
    public fun dropOwnerRecords() {
        queue.removeIf { it is TaskRecord.OwnerRecord }
    }

    /** The batch to append at [now], if one is due. */
    public fun flush(now: Timestamp): TaskBatch? {
        val sentAgo = lastSentAt?.let(now::millisSince) ?: Long.MAX_VALUE
        val sending = inFlight
        return when {
            sending != null && sentAgo < settings.resendMillis -> null
            sending != null -> sending.also { lastSentAt = now }
            queue.isEmpty() || sentAgo < settings.flushWindowMillis -> null
            else -> nextBatch(now)
        }
    }

    /**
     * Handles that [batch] was read back. Returns the time at which it was first sent, which is before the log can have
     * added it; null if [batch] is not the one in flight.
     */
    public fun readBack(batch: TaskBatch): Timestamp? {
        val isInFlight = batch.writer == writer && batch.sequence == inFlight?.sequence
        if (isInFlight) {
            inFlight = null
            inFlightRecords = emptySet()
        }
        return if (isInFlight) firstSentAt else null
    }

    private fun nextBatch(now: Timestamp): TaskBatch {
        val records = queue.takeFitting(settings.batchMaximum) { it.estimatedBytes() }
        inFlightRecords = records.toSet()
        queue.removeAll(inFlightRecords)
        firstSentAt = now
        lastSentAt = now
        return TaskBatch(writer, nextSequence++, records).also { inFlight = it }
    }
}
