/*
 * An index that finds a host with enough free capacity in time logarithmic in the number of hosts: a binary tree whose
 * nodes hold, for each kind of resource, the largest free amount below them.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources

/** Free amounts by position, from 0 until [size]. */
internal class HostIndex(
    val size: Int,
) {
    private val leaves = Integer.highestOneBit(maxOf(size, 1) * 2 - 1)
    private val milliCores = LongArray(leaves * 2) { ABSENT }
    private val memoryMegabytes = LongArray(leaves * 2) { ABSENT }
    private val accelerators = LongArray(leaves * 2) { ABSENT }

    /** Nodes visited so far, as a measure of the cost of decisions. */
    var visits: Long = 0
        private set

    /** Sets the amount that is free at [position]; null removes the position. */
    fun set(
        position: Int,
        free: Resources?,
    ) {
        var node = leaves + position
        milliCores[node] = free?.milliCores ?: ABSENT
        memoryMegabytes[node] = free?.memoryMegabytes ?: ABSENT
        accelerators[node] = free?.accelerators?.toLong() ?: ABSENT
        while (node > 1) {
            node /= 2
            milliCores[node] = maxOf(milliCores[node * 2], milliCores[node * 2 + 1])
            memoryMegabytes[node] = maxOf(memoryMegabytes[node * 2], memoryMegabytes[node * 2 + 1])
            accelerators[node] = maxOf(accelerators[node * 2], accelerators[node * 2 + 1])
        }
    }

    /** The first position from [start] on, and then from 0 on, where [need] fits; null if there is none. */
    fun find(
        need: Resources,
        start: Int,
    ): Int? {
        if (!mayFit(ROOT, need)) return null
        return search(ROOT, 0, leaves, Search(need, start)) ?: search(ROOT, 0, leaves, Search(need, 0))
    }

    private fun search(
        node: Int,
        from: Int,
        width: Int,
        search: Search,
    ): Int? {
        visits++
        val half = width / 2
        return when {
            from + width <= search.start || !mayFit(node, search.need) -> null
            width == 1 -> from
            else -> search(node * 2, from, half, search) ?: search(node * 2 + 1, from + half, half, search)
        }
    }

    private fun mayFit(
        node: Int,
        need: Resources,
    ): Boolean =
        need.milliCores <= milliCores[node] &&
            need.memoryMegabytes <= memoryMegabytes[node] &&
            need.accelerators <= accelerators[node]

    private class Search(
        val need: Resources,
        val start: Int,
    )

    private companion object {
        const val ROOT = 1
        const val ABSENT = Long.MIN_VALUE
    }
}
