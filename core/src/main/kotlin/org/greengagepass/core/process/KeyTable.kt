/*
 * Keys of non-idempotent requests: which were claimed and what became of them.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.process.TaskRecord.KeyRecord
import org.greengagepass.core.process.TaskRecord.KeysForgotten
import org.greengagepass.core.process.TaskRecord.RequestClaimed
import org.greengagepass.core.process.TaskRecord.RequestCompleted
import org.greengagepass.core.process.TaskRecord.RequestNotRun
import org.greengagepass.core.process.TaskRecord.RequestUnknown

/** Keys by value, and separately those that are claimed and those that have an outcome, each in order. */
public class KeyTable internal constructor() {
    private val claimedKeys = LinkedHashMap<RequestKey, KeyEntry>()
    private val settledKeys = LinkedHashMap<RequestKey, KeyEntry>()

    /** Keys whose request may be running, first claimed first. */
    public val claimed: Collection<KeyEntry>
        get() = claimedKeys.values

    /** Keys with an outcome that is still retained, first settled first. */
    public val settled: Collection<KeyEntry>
        get() = settledKeys.values

    /** What is known of [key]; null if it is free. */
    public operator fun get(key: RequestKey): KeyEntry? = claimedKeys[key] ?: settledKeys[key]

    internal fun restore(entry: KeyEntry) {
        val index = if (entry.state is KeyState.Claimed) claimedKeys else settledKeys
        index[entry.key] = entry
    }

    /** Applies [record]; false if its condition is false at [position]. */
    internal fun apply(
        record: KeyRecord,
        position: RecordPosition,
    ): Boolean =
        when (record) {
            is RequestClaimed -> claim(record, position)
            is RequestCompleted -> settle(record.key, KeyState.Completed(record.answer), position)
            is RequestUnknown -> settle(record.key, KeyState.Unknown(record.code), position)
            is RequestNotRun -> claimedKeys.remove(record.key) != null
            is KeysForgotten -> record.keys.count { settledKeys.remove(it) != null } > 0
        }

    private fun claim(
        record: RequestClaimed,
        position: RecordPosition,
    ): Boolean {
        val isFree = get(record.key) == null
        if (isFree) {
            val state = KeyState.Claimed(position.token, record.epoch)
            restore(KeyEntry(record.key, record.bodyDigest, state, position.token, position.epochMillis))
        }
        return isFree
    }

    private fun settle(
        key: RequestKey,
        state: KeyState,
        position: RecordPosition,
    ): Boolean {
        val entry = claimedKeys.remove(key) ?: return false
        restore(entry.copy(state = state, since = position.token, sinceEpochMillis = position.epochMillis))
        return true
    }
}
