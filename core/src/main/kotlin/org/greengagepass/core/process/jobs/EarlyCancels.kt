/*
 * Jobs that were cancelled before the scheduler knew them. A submission may reach the scheduler after the cancel, since
 * clients and entries repeat it until it is answered; it is then refused. Stored, so that later leaders refuse it too.
 */
package org.greengagepass.core.process.jobs

/** Cancels of jobs that were not known. Initially those in [storedRecords]. */
internal class EarlyCancels(
    storedRecords: List<StateRecord>,
) {
    /** Calendar time of the cancel by job, the oldest first. */
    private val cancelledAt: LinkedHashMap<JobId, Long> =
        storedRecords.mapNotNull(::decode).sortedBy { it.second }.toMap(LinkedHashMap())
    private val changed = LinkedHashSet<JobId>()

    /** True if there are changes to write. */
    val hasChanges: Boolean
        get() = changed.isNotEmpty()

    operator fun contains(id: JobId): Boolean = id in cancelledAt

    /** Records that the unknown job [id] was cancelled at [nowEpochMillis]. */
    fun add(
        id: JobId,
        nowEpochMillis: Long,
    ) {
        if (cancelledAt.putIfAbsent(id, nowEpochMillis) != null) return
        changed += id
        if (cancelledAt.size > CANCELS_MAXIMUM) remove(cancelledAt.keys.first())
    }

    /** Removes the cancels before [epochMillis]. */
    fun removeBefore(epochMillis: Long) {
        cancelledAt.entries
            .takeWhile { it.value < epochMillis }
            .map { it.key }
            .forEach(::remove)
    }

    /** Takes the records to write. */
    fun takeRecords(): List<StateRecord> =
        changed
            .map { id -> StateRecord(PREFIX + id.value, cancelledAt[id]?.toString()?.encodeToByteArray()) }
            .also { changed.clear() }

    private fun remove(id: JobId) {
        cancelledAt.remove(id)
        changed += id
    }

    private fun decode(record: StateRecord): Pair<JobId, Long>? {
        val time =
            record.value
                ?.takeIf { record.key.startsWith(PREFIX) }
                ?.decodeToString()
                ?.toLongOrNull()
        return time?.let { JobId(record.key.removePrefix(PREFIX)) to it }
    }

    private companion object {
        private const val PREFIX = "cancelled/"

        /** Bounds the memory that callers can use by cancelling jobs that do not exist, to about a megabyte. */
        private const val CANCELS_MAXIMUM = 10_000
    }
}
