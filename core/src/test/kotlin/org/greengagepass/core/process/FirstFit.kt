/*
 * The simplest placement: the first host with enough free capacity, preferably one on which the task has not failed.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources

internal object FirstFit : PlacementPolicy {
    override fun place(round: PlacementRound): List<Placement> {
        val free = round.hosts.associateTo(LinkedHashMap()) { it.host to it.free }
        return round.waiting
            .take(round.maximum)
            .mapNotNull { task -> choose(task, free) }
            .toList()
    }

    private fun choose(
        task: Task,
        free: MutableMap<HostId, Resources>,
    ): Placement? {
        val limit = task.specification.declared
        val fitting = free.filterValues(limit::fitsIn).keys
        val host = fitting.firstOrNull { it !in task.failures.hosts } ?: fitting.firstOrNull()
        return host?.let {
            free[it] = free.getValue(it) - limit
            Placement(task.id, it, limit)
        }
    }
}
