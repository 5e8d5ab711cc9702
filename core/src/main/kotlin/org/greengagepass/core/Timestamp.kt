/*
 * Time in the core: readings of a monotonic clock in milliseconds. Readings of different clocks (of the entry, the
 * agent, the worker) are never compared; a field's name says which clock it belongs to.
 */
package org.greengagepass.core

import kotlinx.serialization.Serializable

/** A reading of a monotonic clock, in milliseconds. */
@JvmInline
@Serializable
public value class Timestamp(
    public val millis: Long,
) : Comparable<Timestamp> {
    override fun compareTo(other: Timestamp): Int = millis.compareTo(other.millis)

    /** The reading [millis] milliseconds later. */
    public fun plusMillis(millis: Long): Timestamp = Timestamp(this.millis + millis)

    /** Milliseconds from [earlier] to this reading of the same clock. */
    public fun millisSince(earlier: Timestamp): Long = millis - earlier.millis
}
