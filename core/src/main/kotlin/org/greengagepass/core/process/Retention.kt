/*
 * Bounds the state and the log: ended tasks and keys are dropped, and snapshots are written.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.TaskRecord.KeysForgotten
import org.greengagepass.core.process.TaskRecord.OwnerHeartbeat
import org.greengagepass.core.process.TaskRecord.TasksForgotten

/** Decides when tasks and keys are dropped and when a snapshot is due. */
internal class Retention(
    private val context: OwnerContext,
) {
    private val state = context.state
    private val settings = context.settings.retention
    private var snapshotAt: Timestamp? = null
    private var recordsSinceSnapshot = 0
    private var forgetAt = Timestamp(0)
    private var pending: List<TaskRecord> = emptyList()

    /** Counts folded records that change the state; heartbeats of the owner do not count. */
    fun folded(records: List<FoldedRecord>) {
        recordsSinceSnapshot += records.count { it.isValid && it.record !is OwnerHeartbeat }
    }

    /** Starts the interval to the next snapshot. */
    fun ownershipGained() {
        snapshotAt = context.now
    }

    /** Requests a snapshot and queues records that drop tasks and keys, if they are due. Only for the owner. */
    fun tick() {
        if (isSnapshotDue()) {
            snapshotAt = context.now
            recordsSinceSnapshot = 0
            context.decide(OwnerDecision.WriteSnapshot(state.nextOffset))
        }
        if (context.now >= forgetAt && pending.none { it in context.appender }) {
            forgetAt = context.now.plusMillis(settings.forgetEveryMillis)
            pending = listOfNotNull(tasksToForget(), keysToForget()).filter(context.appender::offer)
        }
    }

    private fun isSnapshotDue(): Boolean {
        val sinceLast = snapshotAt?.let(context.now::millisSince) ?: Long.MAX_VALUE
        val isChangedAndOld = recordsSinceSnapshot > 0 && sinceLast >= settings.snapshotMillis
        val isExpiring = sinceLast >= settings.logMillis / SNAPSHOTS_PER_LOG_RETENTION
        return recordsSinceSnapshot >= settings.snapshotRecords || isChangedAndOld || isExpiring
    }

    private fun tasksToForget(): TasksForgotten? {
        val ended = state.tasks.ended
        val excessCount = ended.size - settings.endedTasksMaximum
        val oldestKept = state.epochMillis - settings.endedTaskMillis
        return ended
            .asSequence()
            .take(settings.forgottenPerRecordMaximum)
            .withIndex()
            .takeWhile { (index, task) -> index < excessCount || task.endedAtEpochMillis < oldestKept }
            .map { it.value.id }
            .toList()
            .takeIf { it.isNotEmpty() }
            ?.let { TasksForgotten(context.epoch, it) }
    }

    private fun keysToForget(): KeysForgotten? {
        val oldestKept = state.epochMillis - settings.keyMillis
        return state.keys.settled
            .asSequence()
            .take(settings.forgottenPerRecordMaximum)
            .takeWhile { it.sinceEpochMillis < oldestKept }
            .map { it.key }
            .toList()
            .takeIf { it.isNotEmpty() }
            ?.let { KeysForgotten(context.epoch, it) }
    }

    private companion object {
        /** Snapshots expire like other records; with four per retention, three in a row may be missed. */
        private const val SNAPSHOTS_PER_LOG_RETENTION = 4
    }
}
