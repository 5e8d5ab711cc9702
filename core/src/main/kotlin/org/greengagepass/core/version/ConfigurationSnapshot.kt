/*
 * The whole state of the configuration at one offset, and the bounded memories by which repeated batches and writes
 * are told from new ones. The memories are part of the snapshot, so that a restored process decides as the others.
 */
package org.greengagepass.core.version

import kotlinx.serialization.Serializable

/**
 * State of the configuration before the log record at [nextOffset]. It is incomplete if records from
 * [firstMissingOffset] on expired before its writer folded them.
 */
@Serializable
public data class ConfigurationSnapshot(
    val nextOffset: Long,
    val view: ConfigurationView,
    val sequences: List<WriterSequence>,
    val keys: List<KeyVerdict>,
    val firstMissingOffset: Long? = null,
)

/** Highest sequence number of a batch that was folded from [writer]. */
@Serializable
public data class WriterSequence(
    val writer: String,
    val sequence: Long,
)

/** An idempotency key within its operator. */
@Serializable
public data class OperatorKey(
    val operator: String,
    val idempotencyKey: String,
)

/** What became of the write with [key]. */
@Serializable
public data class KeyVerdict(
    val key: OperatorKey,
    val verdict: Verdict,
)

/**
 * Sequence numbers seen, for the writers that wrote last. A writer appends one batch at a time and repeats it until
 * it reads it back, so a lower number than the highest can only be a late repetition.
 */
internal class WriterSequences(
    known: List<WriterSequence> = emptyList(),
) {
    private val highest = LinkedHashMap<String, Long>()

    init {
        known.forEach { highest[it.writer] = it.sequence }
    }

    fun accept(
        writer: String,
        sequence: Long,
    ): Boolean {
        val previous = highest[writer]
        if (previous != null && sequence <= previous) {
            return false
        }
        highest.remove(writer)
        highest[writer] = sequence
        if (highest.size > WRITERS_MAXIMUM) {
            highest.remove(highest.keys.first())
        }
        return true
    }

    fun toList(): List<WriterSequence> = highest.map { WriterSequence(it.key, it.value) }

    companion object {
        /** Writers remembered. At the target 40 entries write, each under a new name after a restart. */
        const val WRITERS_MAXIMUM = 4_096
    }
}

/** Verdicts on the latest idempotency keys. An empty key stands for none and is not remembered. */
internal class KeyMemory(
    known: List<KeyVerdict> = emptyList(),
) {
    private val verdicts = LinkedHashMap<OperatorKey, Verdict>()

    init {
        known.forEach { verdicts[it.key] = it.verdict }
    }

    fun find(key: OperatorKey): Verdict? = verdicts[key]

    fun add(
        key: OperatorKey,
        verdict: Verdict,
    ) {
        if (key.idempotencyKey.isEmpty()) {
            return
        }
        verdicts[key] = verdict
        if (verdicts.size > KEYS_MAXIMUM) {
            verdicts.remove(verdicts.keys.first())
        }
    }

    fun toList(): List<KeyVerdict> = verdicts.map { KeyVerdict(it.key, it.value) }

    companion object {
        /** Keys remembered: those of the last two hours at 100,000 changes a day. */
        const val KEYS_MAXIMUM = 10_000
    }
}
