/*
 * Amounts of resources that a host has or a task needs.
 */
package org.greengagepass.core

import kotlinx.serialization.Serializable

/** Processor time in thousandths of a core, memory in megabytes, and a number of accelerators. */
@Serializable
public data class Resources(
    val milliCores: Long = 0,
    val memoryMegabytes: Long = 0,
    val accelerators: Int = 0,
) {
    /** The sum of both, component by component. */
    public operator fun plus(other: Resources): Resources =
        Resources(
            milliCores = milliCores + other.milliCores,
            memoryMegabytes = memoryMegabytes + other.memoryMegabytes,
            accelerators = accelerators + other.accelerators,
        )

    /** The difference, component by component. Components may become negative. */
    public operator fun minus(other: Resources): Resources =
        Resources(
            milliCores = milliCores - other.milliCores,
            memoryMegabytes = memoryMegabytes - other.memoryMegabytes,
            accelerators = accelerators - other.accelerators,
        )

    /** True if every component is at most that of [capacity]. */
    public fun fitsIn(capacity: Resources): Boolean =
        milliCores <= capacity.milliCores &&
            memoryMegabytes <= capacity.memoryMegabytes &&
            accelerators <= capacity.accelerators

    public companion object {
        /** No resources at all. */
        public val NONE: Resources = Resources()
    }
}
