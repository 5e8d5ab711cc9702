/*
 * Placements whose records have not been read back: no host lists them yet, but they count towards quotas.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp

internal class UnconfirmedPlacement(
    val team: TeamName,
    val limit: Resources,
    val placedAt: Timestamp,
)

internal class UnconfirmedPlacements {
    private val byTask = HashMap<TaskId, UnconfirmedPlacement>()

    fun add(
        taskId: TaskId,
        placement: UnconfirmedPlacement,
    ) {
        byTask[taskId] = placement
    }

    fun remove(taskId: TaskId) {
        byTask.remove(taskId)
    }

    /** Drops placements that a host lists, whose tasks wait again, or that are too old. */
    fun prune(
        waiting: Set<TaskId>,
        round: PlacementRound,
    ) {
        if (byTask.isEmpty()) return
        byTask.keys.removeAll(waiting)
        round.hosts.forEach { host -> host.tasks.forEach { byTask.remove(it.id) } }
        byTask.values.removeIf { round.now.millisSince(it.placedAt) > RETENTION_MILLIS }
    }

    fun addTo(usage: MutableMap<TeamName, Resources>) {
        byTask.values.forEach { usage[it.team] = (usage[it.team] ?: Resources.NONE) + it.limit }
    }
}

/** The longest outage of the log in which an owner keeps the partition; after it the record can't become valid. */
private const val RETENTION_MILLIS = 600_000L
