/*
 * Snapshots of the configuration. Only the owner of the first partition writes them.
 */
package org.greengagepass.entry.version

import arrow.core.Either
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.ConfigurationAssembler
import org.greengagepass.core.version.ConfigurationChunks
import org.greengagepass.core.version.ConfigurationSnapshot
import org.greengagepass.core.version.ConfigurationState
import org.greengagepass.entry.process.SnapshotStream
import org.greengagepass.services.process.LogService
import org.greengagepass.services.process.PlatformError

/** Writes and restores snapshots as [writer]. The log keeps records for [logRetentionMillis]. */
public class ConfigurationSnapshots(
    log: LogService,
    private val writer: String,
    private val logRetentionMillis: Long,
) {
    private val snapshots = SnapshotStream(log, "$CONFIGURATION_STREAM-snapshots")
    private var writtenOffset = 0L
    private var dueAt: Timestamp? = null

    /** Restores the newest snapshot into [state]. */
    public suspend fun restore(state: ConfigurationState): Either<PlatformError, Unit> {
        val assembler = ConfigurationAssembler()
        return snapshots.readAll { payload -> assembler.add(payload).map { it?.let(state::restore) } }
    }

    /** The snapshot that is due at [now], or null. */
    public fun dueSnapshot(
        state: ConfigurationState,
        now: Timestamp,
    ): ConfigurationSnapshot? {
        val due = dueAt ?: now.plusMillis(INTERVAL_MILLIS).also { dueAt = it }
        val isChanged = state.nextOffset > writtenOffset
        val isExpiring = now >= due.plusMillis(logRetentionMillis / SNAPSHOTS_PER_RETENTION)
        val isDue = now >= due && (isChanged || isExpiring)
        if (isDue) {
            writtenOffset = state.nextOffset
            dueAt = now.plusMillis(INTERVAL_MILLIS)
        }
        return if (isDue) state.snapshot() else null
    }

    /** Appends [snapshot]. */
    public suspend fun write(snapshot: ConfigurationSnapshot) {
        snapshots.write(ConfigurationChunks.split(snapshot, writer, number = snapshot.nextOffset))
    }

    private companion object {
        private const val INTERVAL_MILLIS = 60_000L

        /** Snapshots expire like other records. With four in a retention period, three may fail. */
        private const val SNAPSHOTS_PER_RETENTION = 4
    }
}
