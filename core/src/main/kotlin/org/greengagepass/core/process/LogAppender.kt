/*
 * The queue of one writer of a stream. At most one batch is on its way: it is sent again under the same sequence
 * until it has been read back, so a batch can neither be lost nor be overtaken by a later one of the same writer.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp

/** What became of a record that a caller no longer waits for. */
public enum class Withdrawal {
    /** The record was never sent and never will be. */
    WITHDRAWN,

    /** The record was sent and may be in the log. */
    SENT,

    /** The record is not known: it has been read back or was never offered. */
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

    /** Number of records that wait or are on their way. */
    public val size: Int
        get() = queue.size + inFlightRecords.size

    /** True if [record] waits or is on its way. */
    public operator fun contains(record: TaskRecord): Boolean = record in inFlightRecords || record in queue

    /** Queues [record] unless it is queued already; false if the queue is full. */
    public fun offer(record: TaskRecord): Boolean =
        when {
            record in this -> true
            queue.size >= settings.queueMaximum -> false
            else -> queue.add(record)
        }

    /** Takes [record] out of the queue if it has not been sent. */
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
     * Notes that [batch] was read back. Gives the time at which it was first sent, after which the log must have
     * put it in its place; null if it is not the batch on its way.
     */
    public fun readBack(batch: TaskBatch): Timestamp? {
        val isMine = batch.writer == writer && batch.sequence == inFlight?.sequence
        if (isMine) {
            inFlight = null
            inFlightRecords = emptySet()
        }
        return if (isMine) firstSentAt else null
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
