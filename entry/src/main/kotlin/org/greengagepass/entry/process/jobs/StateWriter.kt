/*
 * Writes the scheduler's state, one append at a time. A failed append is retried with the same sequence number until
 * the store accepts it, so that nothing is written twice or out of order.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.StateRecord
import org.greengagepass.services.process.AppendIdentity
import org.greengagepass.services.process.StateStore
import org.greengagepass.services.process.StoreFailure

/** Writes to [store] as the leader of [epoch], whose next append has the number [nextSequence]. */
public class StateWriter(
    private val store: StateStore,
    private val epoch: Epoch,
    private var nextSequence: Long,
    private val clock: () -> Moment,
    private val confirmation: Confirmation,
) {
    /** Start of the append in progress, or null. */
    public var writingSince: Timestamp? = null
        private set

    private var unavailableSince: Timestamp? = null

    /** Start of the last successful append. */
    public var lastSuccessAt: Timestamp = clock().now
        private set

    /**
     * Writes [records]. Returns false if another leader has begun, if [isActive] becomes false before the records are
     * stored, or if the store can't take them.
     */
    public suspend fun write(
        records: List<StateRecord>,
        isActive: () -> Boolean = { true },
    ): Boolean = chunks(records).all { writeChunk(it, isActive) }

    private suspend fun writeChunk(
        records: List<StateRecord>,
        isActive: () -> Boolean,
    ): Boolean {
        var unansweredSince: Moment? = null
        var isStored: Boolean? = null
        while (isStored == null && isActive()) {
            val startedAt = clock()
            writingSince = writingSince ?: startedAt.now
            val failure = store.append(AppendIdentity(epoch, nextSequence), records).leftOrNull()
            when (failure) {
                null -> {
                    // The store may repeat its answer to an earlier try, and another leader may have begun after it.
                    appended(startedAt, confirmedAt = unansweredSince ?: startedAt)
                    isStored = true
                }
                is StoreFailure.Fenced, is StoreFailure.Conflict -> {
                    logger.warn("another leader has begun after epoch {}: {}", epoch.value, failure.detail)
                    isStored = false
                }
                is StoreFailure.Rejected -> {
                    logger.error("the state store rejects {} records: {}", records.size, failure.detail)
                    isStored = false
                }
                is StoreFailure.Refused, is StoreFailure.NoAnswer -> {
                    storeFailed(startedAt, failure)
                    if (failure is StoreFailure.NoAnswer) unansweredSince = unansweredSince ?: startedAt
                    delay(RETRY_MILLIS)
                }
            }
        }
        return isStored ?: false
    }

    private fun appended(
        startedAt: Moment,
        confirmedAt: Moment,
    ) {
        nextSequence += 1
        lastSuccessAt = startedAt.now
        writingSince = null
        confirmation.confirm(confirmedAt)
        storeRecovered()
    }

    private fun storeFailed(
        startedAt: Moment,
        failure: StoreFailure,
    ) {
        if (unavailableSince == null) {
            unavailableSince = startedAt.now
            logger.warn("the state store is unavailable: {}", failure.detail)
        }
    }

    private fun storeRecovered() {
        unavailableSince?.let {
            logger.info("the state store is available again after {} ms", clock().now.millisSince(it))
        }
        unavailableSince = null
    }

    private fun chunks(records: List<StateRecord>): List<List<StateRecord>> {
        val chunks = ArrayList<List<StateRecord>>()
        var chunk = ArrayList<StateRecord>()
        var bytes = 0
        records.forEach { record ->
            val size = record.key.length + (record.value?.size ?: 0) + RECORD_OVERHEAD_BYTES
            if (bytes + size > CHUNK_BYTES_MAXIMUM && chunk.isNotEmpty()) {
                chunks += chunk
                chunk = ArrayList()
                bytes = 0
            }
            chunk += record
            bytes += size
        }
        if (chunk.isNotEmpty()) chunks += chunk
        return chunks
    }

    private companion object {
        private val logger = LogManager.getLogger(StateWriter::class.java)
        private const val RETRY_MILLIS = 50L

        /** Half of what the store accepts in one call. */
        private const val CHUNK_BYTES_MAXIMUM = 1_000_000
        private const val RECORD_OVERHEAD_BYTES = 16
    }
}
