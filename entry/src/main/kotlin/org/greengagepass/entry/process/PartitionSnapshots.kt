/*
 * Snapshots of a partition's state.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.process.PartitionState
import org.greengagepass.core.process.Snapshot
import org.greengagepass.core.process.SnapshotChunk
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError

/** Takes and restores snapshots of the partition that [stream] describes. */
public class PartitionSnapshots(
    log: LogService,
    stream: String,
) {
    private val snapshots = SnapshotStream(log, "$stream-snapshots")

    /** The newest whole state; an empty one if there is no snapshot. */
    public suspend fun newest(): Either<PlatformError, PartitionState> {
        val reader = NewestSnapshot()
        return snapshots.readAll { BatchCodec.TASK_SNAPSHOTS.decode(it).map(reader::add) }.map {
            reader.state
                ?: PartitionState()
        }
    }

    /** Appends a snapshot. */
    public suspend fun write(chunks: List<SnapshotChunk>) {
        snapshots.write(chunks.map(BatchCodec.TASK_SNAPSHOTS::encode))
    }
}

/** Collects chunks and keeps only the newest whole snapshot, so that old ones do not fill memory. */
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
            adopt(chunks)
        }
    }

    private fun adopt(chunks: List<SnapshotChunk>) {
        val whole = Snapshot.restore(chunks.distinctBy { it.index }.sortedBy { it.index }) ?: return
        if (whole.nextOffset > (state?.nextOffset ?: -1)) {
            state = whole
        }
    }
}
