/*
 * Snapshots of a partition's state. A snapshot is a run of chunks, each small enough for one append; it is whole
 * if all of its chunks are there, and a reader takes the newest whole one.
 */
package org.greengagepass.core.process

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of a snapshot. */
@Serializable
public sealed class SnapshotRecord {
    /** State that is not per task or key. */
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
    public data class TaskEntry(
        val task: Task,
    ) : SnapshotRecord()

    /** One key of a non-idempotent request. */
    @Serializable
    @SerialName("key")
    public data class KeyRecordEntry(
        val entry: KeyEntry,
    ) : SnapshotRecord()
}

/** Part [index] of the [count] parts of the snapshot of the state before [nextOffset], as [writer] took it. */
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
    /** Records per chunk. At about 400 bytes a task a chunk is some 200 kB, well below the frame limit of 1 MiB. */
    public const val RECORDS_PER_CHUNK: Int = 500

    /** The [state] in chunks of at most [recordsPerChunk] records. Tasks and keys are in the order of their indices. */
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

    /** The state that [chunks] hold; null unless they are all chunks of one snapshot. */
    public fun restore(chunks: List<SnapshotChunk>): PartitionState? {
        val isWhole = chunks.isNotEmpty() && chunks.map { it.index } == (0 until chunks.first().count).toList()
        val isOne = chunks.distinctBy { it.writer to it.nextOffset }.size == 1
        return if (isWhole && isOne) stateOf(chunks.flatMap { it.records }) else null
    }

    /** The newest state that is whole among the chunks that were [read] from the snapshot stream; null if none is. */
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
                .mapTo(this) { SnapshotRecord.TaskEntry(it) }
            state.keys.claimed.mapTo(this) { SnapshotRecord.KeyRecordEntry(it) }
            state.keys.settled.mapTo(this) { SnapshotRecord.KeyRecordEntry(it) }
        }

    private fun stateOf(records: List<SnapshotRecord>): PartitionState {
        val state = PartitionState()
        records.forEach { record ->
            when (record) {
                is SnapshotRecord.Header -> state.restore(record)
                is SnapshotRecord.TaskEntry -> state.tasks.put(record.task)
                is SnapshotRecord.KeyRecordEntry -> state.keys.restore(record.entry)
            }
        }
        return state
    }
}
