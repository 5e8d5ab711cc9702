/*
 * Places each waiting task on the first host that has room for what it declares.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.process.Placement
import org.greengagepass.core.process.PlacementPolicy
import org.greengagepass.core.process.PlacementRound

/** First fit by declared sizes. */
public object FirstFitPlacement : PlacementPolicy {
    override fun place(round: PlacementRound): List<Placement> {
        val free = round.hosts.associateTo(LinkedHashMap<HostId, Resources>()) { it.host to it.free }
        return round.waiting
            .take(round.maximum)
            .mapNotNull { task ->
                val limit = task.specification.declared
                free.entries.firstOrNull { limit.fitsIn(it.value) }?.let { host ->
                    host.setValue(host.value - limit)
                    Placement(task.id, host.key, limit)
                }
            }.toList()
    }
}
