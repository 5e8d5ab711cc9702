/*
 * The complete state of the configuration at one offset, and the bounded tables by which repeated batches and writes
 * are detected. The tables are part of the snapshot, so that a restored process decides like the others.
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

/** Verdict on the write with [key]. */
@Serializable
public data class KeyVerdict(
    val key: OperatorKey,
    val verdict: Verdict,
)

/**
 * Highest sequence numbers of the most recent writers. A writer appends one batch at a time and repeats it until it
 * reads it back, so a number that is not higher can only be a late repetition.
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
        /**
         * Maximum number of writers kept. At the target size 40 entries write, each under a new name after a restart.
         */
        const val WRITERS_MAXIMUM = 4_096
    }
}

/** Verdicts on the most recent idempotency keys. An empty key means that there is none, and is not stored. */
internal class OperatorKeyTable(
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
        /** Maximum number of keys kept: those of the last two hours at 100,000 changes a day. */
        const val KEYS_MAXIMUM = 10_000
    }
}
