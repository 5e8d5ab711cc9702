/*
 * The fold of a partition's stream. It depends only on the batches and their offsets, so every process that reads the
 * stream computes the same state.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.process.TaskRecord.CancelRequested
import org.greengagepass.core.process.TaskRecord.KeyRecord
import org.greengagepass.core.process.TaskRecord.LifeCycleRecord
import org.greengagepass.core.process.TaskRecord.OwnerHeartbeat
import org.greengagepass.core.process.TaskRecord.OwnerRecord
import org.greengagepass.core.process.TaskRecord.PartitionClaimed
import org.greengagepass.core.process.TaskRecord.PartitionReleased
import org.greengagepass.core.process.TaskRecord.RequestClaimed
import org.greengagepass.core.process.TaskRecord.Submitted
import org.greengagepass.core.process.TaskRecord.TasksForgotten

/** A record at its position, and whether its condition held there. */
public data class FoldedRecord(
    val position: FencingToken,
    val record: TaskRecord,
    val isValid: Boolean,
)

/** State of a partition after the batches before [nextOffset]. Not thread-safe. */
public class PartitionState {
    private val writers = WriterTable()

    /** The partition's tasks. */
    public val tasks: TaskTable = TaskTable()

    /** The partition's keys of non-idempotent requests. */
    public val keys: KeyTable = KeyTable()

    /** The current owner of the partition. */
    public var ownership: Ownership = Ownership.NONE
        private set

    /** Offset of the first batch that has not been applied. */
    public var nextOffset: Long = 0
        private set

    /** Latest wall-clock time of a valid record; only retention depends on it. */
    public var epochMillis: Long = 0
        private set

    /** Highest sequence of each writer, for a snapshot. */
    public val writerPositions: List<WriterPosition>
        get() = writers.positions

    /**
     * Applies the batch at [offset] and returns its records with their outcomes. The list is empty for a batch that was
     * already folded or whose writer has written a later one.
     */
    public fun fold(
        offset: Long,
        batch: TaskBatch,
    ): List<FoldedRecord> {
        if (offset < nextOffset) {
            return emptyList()
        }
        nextOffset = offset + 1
        val isUsable =
            batch.records.size <= FencingToken.RECORDS_PER_BATCH_MAXIMUM &&
                writers.admit(batch.writer, batch.sequence)
        return if (isUsable) {
            batch.records.mapIndexed { index, record ->
                val token = FencingToken.of(offset, index)
                FoldedRecord(token, record, isValid = apply(record, token))
            }
        } else {
            emptyList()
        }
    }

    /** Skips batches before [offset] that cannot be decoded or have expired. */
    public fun skipTo(offset: Long) {
        nextOffset = maxOf(nextOffset, offset)
    }

    /** True if the state includes the record at [position]. */
    public fun hasRead(position: FencingToken): Boolean = position < FencingToken.of(nextOffset, index = 0)

    internal fun restore(header: SnapshotRecord.Header) {
        ownership = header.ownership
        epochMillis = header.epochMillis
        nextOffset = header.nextOffset
        header.writers.forEach { writers.admit(it.writer, it.sequence) }
    }

    private fun apply(
        record: TaskRecord,
        token: FencingToken,
    ): Boolean =
        when (record) {
            is PartitionClaimed -> changeOwnership(ownership.after(record, token))
            is Submitted -> submit(record, token)
            is CancelRequested -> change(tasks[record.taskId]?.afterCancelRequest(RecordPosition(token, epochMillis)))
            is OwnerRecord -> ownership.permits(record.epoch) && applyOwned(record, token)
        }

    private fun applyOwned(
        record: OwnerRecord,
        token: FencingToken,
    ): Boolean =
        when (record) {
            is LifeCycleRecord -> change(tasks[record.taskId]?.after(record, RecordPosition(token, epochMillis)))
            is RequestClaimed -> {
                advanceClock(record.recordedAtEpochMillis)
                keys.apply(record, RecordPosition(token, epochMillis))
            }
            is KeyRecord -> keys.apply(record, RecordPosition(token, epochMillis))
            is PartitionReleased ->
                changeOwnership(
                    ownership.copy(released = true, remainingWaitMillis = record.remainingWaitMillis),
                )
            is OwnerHeartbeat -> advanceClock(record.recordedAtEpochMillis)
            is TasksForgotten -> record.tasks.count(tasks::forget) > 0
        }

    private fun changeOwnership(changed: Ownership?): Boolean {
        ownership = changed ?: ownership
        return changed != null
    }

    private fun change(task: Task?): Boolean {
        task?.let(tasks::put)
        return task != null
    }

    private fun submit(
        record: Submitted,
        token: FencingToken,
    ): Boolean {
        advanceClock(record.recordedAtEpochMillis)
        val isNew = tasks[record.specification.taskId] == null
        return isNew && change(Task(record.specification, token, record.recordedAtEpochMillis))
    }

    private fun advanceClock(recordedAtEpochMillis: Long): Boolean {
        epochMillis = maxOf(epochMillis, recordedAtEpochMillis)
        return true
    }
}
