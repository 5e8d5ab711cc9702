/*
 * Snapshots of a partition's state. A snapshot is a sequence of chunks, each small enough for one append. It is
 * complete if all of its chunks are present; a reader restores the newest complete one.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of a snapshot. */
@Serializable
public sealed class SnapshotRecord {
    /** State that belongs to no single task or key. */
    @Serializable
    @SerialName("header")
    public data class Header(
        val nextOffset: Long,
        val epochMillis: Long,
        val ownership: Ownership,
        val writers: List<WriterPosition>,
    ) : SnapshotRecord()

    /** One task. */
    @Serializable
    @SerialName("task")
    public data class TaskItem(
        val task: Task,
    ) : SnapshotRecord()

    /** One key of a non-idempotent request. */
    @Serializable
    @SerialName("key")
    public data class KeyItem(
        @SerialName("entry")
        val recorded: RecordedKey,
    ) : SnapshotRecord()
}

/** Chunk [index] of the [count] chunks of the snapshot that [writer] took of the state before [nextOffset]. */
@Serializable
public data class SnapshotChunk(
    val writer: String,
    val nextOffset: Long,
    val index: Int,
    val count: Int,
    val records: List<SnapshotRecord>,
)

/** Takes and restores snapshots. */
public object Snapshot {
    /** Records per chunk. At about 400 bytes per task a chunk has about 200 kB, well below the frame limit of 1 MiB. */
    public const val RECORDS_PER_CHUNK: Int = 500

    /** Divides [state] into chunks of at most [recordsPerChunk] records. Tasks and keys keep their index order. */
    public fun take(
        state: PartitionState,
        writer: String,
        recordsPerChunk: Int = RECORDS_PER_CHUNK,
    ): List<SnapshotChunk> {
        val parts = partsOf(recordsOf(state), recordsPerChunk)
        return parts.mapIndexed { index, records ->
            SnapshotChunk(writer, state.nextOffset, index, parts.size, records)
        }
    }

    /** Restores the state from [chunks]; null unless they are exactly the chunks of one snapshot, in order. */
    public fun restore(chunks: List<SnapshotChunk>): PartitionState? {
        val isComplete = chunks.isNotEmpty() && chunks.map { it.index } == (0 until chunks.first().count).toList()
        val isSingleSnapshot = chunks.distinctBy { it.writer to it.nextOffset }.size == 1
        return if (isComplete && isSingleSnapshot) stateOf(chunks.flatMap { it.records }) else null
    }

    /** Restores the newest complete snapshot among the chunks that were [read]; null if there is none. */
    public fun newest(read: List<SnapshotChunk>): PartitionState? =
        read
            .groupBy { it.writer to it.nextOffset }
            .values
            .sortedByDescending { it.first().nextOffset }
            .firstNotNullOfOrNull { chunks -> restore(chunks.distinctBy { it.index }.sortedBy { it.index }) }

    private fun partsOf(
        records: List<SnapshotRecord>,
        recordsPerChunk: Int,
    ): List<List<SnapshotRecord>> {
        val parts = mutableListOf<List<SnapshotRecord>>()
        var taken = 0
        while (taken < records.size) {
            val part = records.subList(taken, records.size).takeFitting(recordsPerChunk) { it.estimatedBytes() }
            parts += part
            taken += part.size
        }
        return parts
    }

    private fun recordsOf(state: PartitionState): List<SnapshotRecord> =
        buildList {
            add(SnapshotRecord.Header(state.nextOffset, state.epochMillis, state.ownership, state.writerPositions))
            state.tasks.all
                .sortedBy { it.phaseSince }
                .mapTo(this) { SnapshotRecord.TaskItem(it) }
            state.keys.claimed.mapTo(this) { SnapshotRecord.KeyItem(it) }
            state.keys.settled.mapTo(this) { SnapshotRecord.KeyItem(it) }
        }

    private fun stateOf(records: List<SnapshotRecord>): PartitionState {
        val state = PartitionState()
        records.forEach { record ->
            when (record) {
                is SnapshotRecord.Header -> state.restore(record)
                is SnapshotRecord.TaskItem -> state.tasks.put(record.task)
                is SnapshotRecord.KeyItem -> state.keys.restore(record.recorded)
            }
        }
        return state
    }
}
