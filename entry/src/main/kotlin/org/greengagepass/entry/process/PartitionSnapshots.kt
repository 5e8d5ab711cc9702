/*
 * Writes and restores snapshots of a partition's state.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.process.PartitionState
import org.greengagepass.core.process.Snapshot
import org.greengagepass.core.process.SnapshotChunk
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError

/** Snapshots of the partition whose records are in [stream]. */
public class PartitionSnapshots(
    log: LogService,
    stream: String,
) {
    private val snapshots = SnapshotStream(log, "$stream-snapshots")

    /** The state in the newest complete snapshot; an empty state if there is none. */
    public suspend fun newest(): Either<PlatformError, PartitionState> {
        val reader = NewestSnapshot()
        return snapshots.readAll { BatchCodec.TASK_SNAPSHOTS.decode(it).map(reader::add) }.map {
            reader.state
                ?: PartitionState()
        }
    }

    /** Appends the snapshot that consists of [chunks]. */
    public suspend fun write(chunks: List<SnapshotChunk>) {
        snapshots.write(chunks.map(BatchCodec.TASK_SNAPSHOTS::encode))
    }
}

/** Collects chunks and keeps only the newest complete snapshot, so that old ones do not fill memory. */
private class NewestSnapshot {
    private val incomplete = HashMap<Pair<String, Long>, MutableList<SnapshotChunk>>()

    var state: PartitionState? = null
        private set

    fun add(chunk: SnapshotChunk) {
        val key = chunk.writer to chunk.nextOffset
        val chunks = incomplete.getOrPut(key) { ArrayList() }
        chunks += chunk
        if (chunks.distinctBy { it.index }.size == chunk.count) {
            incomplete.remove(key)
            restore(chunks)
        }
    }

    private fun restore(chunks: List<SnapshotChunk>) {
        val restored = Snapshot.restore(chunks.distinctBy { it.index }.sortedBy { it.index }) ?: return
        if (restored.nextOffset > (state?.nextOffset ?: -1)) {
            state = restored
        }
    }
}
