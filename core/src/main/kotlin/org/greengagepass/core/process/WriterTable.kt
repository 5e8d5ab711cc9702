/*
 * The highest batch sequence of each writer, to recognise duplicate and late appends.
 */
package org.greengagepass.core.process

import kotlinx.serialization.Serializable

/** Highest sequence of a writer in the stream. */
@Serializable
public data class WriterPosition(
    val writer: String,
    val sequence: Long,
)

/**
 * Sequences of a writer only grow: a batch at or below the highest sequence seen is a duplicate or was overtaken, and
 * has no effect. The table is bounded and holds the writers that wrote last, because every start of an entry process
 * adds a writer.
 */
internal class WriterTable {
    private val sequences = LinkedHashMap<String, Long>()

    val positions: List<WriterPosition>
        get() = sequences.map { (writer, sequence) -> WriterPosition(writer, sequence) }

    /** Records that [writer] wrote [sequence]; false if the batch must be ignored. */
    fun admit(
        writer: String,
        sequence: Long,
    ): Boolean {
        val highest = sequences[writer]
        if (highest != null && sequence <= highest) {
            return false
        }
        sequences.remove(writer)
        sequences[writer] = sequence
        if (sequences.size > WRITERS_MAXIMUM) {
            sequences.remove(sequences.keys.first())
        }
        return true
    }

    private companion object {
        /** 25 times the 40 entries of the target size, so a writer is dropped long after its last append. */
        private const val WRITERS_MAXIMUM = 1_000
    }
}
