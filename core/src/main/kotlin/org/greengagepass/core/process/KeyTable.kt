/*
 * Keys of non-idempotent requests: claimed keys, and keys with a recorded outcome.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.process.TaskRecord.KeyRecord
import org.greengagepass.core.process.TaskRecord.KeysForgotten
import org.greengagepass.core.process.TaskRecord.RequestClaimed
import org.greengagepass.core.process.TaskRecord.RequestCompleted
import org.greengagepass.core.process.TaskRecord.RequestNotRun
import org.greengagepass.core.process.TaskRecord.RequestUnknown

/** Claimed keys and keys with an outcome, each in the order of their records. */
public class KeyTable internal constructor() {
    private val claimedKeys = LinkedHashMap<RequestKey, RecordedKey>()
    private val settledKeys = LinkedHashMap<RequestKey, RecordedKey>()

    /** Keys whose request may be running, in the order of their claims. */
    public val claimed: Collection<RecordedKey>
        get() = claimedKeys.values

    /** Keys with an outcome that is still retained, in the order of their outcomes. */
    public val settled: Collection<RecordedKey>
        get() = settledKeys.values

    /** The recorded state of [key]; null if the key is free. */
    public operator fun get(key: RequestKey): RecordedKey? = claimedKeys[key] ?: settledKeys[key]

    internal fun restore(recorded: RecordedKey) {
        val index = if (recorded.state is KeyState.Claimed) claimedKeys else settledKeys
        index[recorded.key] = recorded
    }

    /** Applies [record]; false if its condition does not hold at [position]. */
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
            restore(RecordedKey(record.key, record.bodyDigest, state, position.token, position.epochMillis))
        }
        return isFree
    }

    private fun settle(
        key: RequestKey,
        state: KeyState,
        position: RecordPosition,
    ): Boolean {
        val recorded = claimedKeys.remove(key) ?: return false
        restore(recorded.copy(state = state, since = position.token, sinceEpochMillis = position.epochMillis))
        return true
    }
}
