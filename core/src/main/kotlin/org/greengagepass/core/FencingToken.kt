/*
 * Fencing tokens. A token is the position of the record that granted a right, so tokens increase in log order. A
 * process whose token is lower than one already seen has lost the right.
 */
package org.greengagepass.core

import kotlinx.serialization.Serializable

/** Position of a record in a stream, used to order grants of the same right. */
@JvmInline
@Serializable
public value class FencingToken(
    public val value: Long,
) : Comparable<FencingToken> {
    override fun compareTo(other: FencingToken): Int = value.compareTo(other.value)

    public companion object {
        /** Maximum number of records in one batch, so that offset and index fit into one number. */
        public const val RECORDS_PER_BATCH_MAXIMUM: Int = 4096

        /** Token that is lower than that of any record. */
        public val NONE: FencingToken = FencingToken(-1)

        /** Token of the record at [index] of the batch at log offset [offset]. */
        public fun of(
            offset: Long,
            index: Int,
        ): FencingToken = FencingToken(offset * RECORDS_PER_BATCH_MAXIMUM + index)
    }
}

/** Number of an ownership of a partition. Each valid claim increases it by one. */
@JvmInline
@Serializable
public value class Epoch(
    public val value: Long,
) : Comparable<Epoch> {
    override fun compareTo(other: Epoch): Int = value.compareTo(other.value)

    /** The epoch that the next valid claim gets. */
    public fun next(): Epoch = Epoch(value + 1)

    public companion object {
        /** Epoch of a partition that has never been claimed. */
        public val NONE: Epoch = Epoch(0)
    }
}
