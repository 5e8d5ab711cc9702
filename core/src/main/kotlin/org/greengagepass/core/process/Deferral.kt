/*
 * Holds tasks back that could only run strongly throttled: they would occupy cores that other work can use. The
 * delay is bounded, so that such a task runs throttled in the end rather than never.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority

internal class Deferral(
    private val sources: PlacementSources,
    private val models: PlacementModels,
) {
    private val since = HashMap<TaskId, Timestamp>()

    /** True if [task] is not to start on [slot] now, the best of its candidates. */
    fun defers(
        task: Task,
        priority: Priority,
        slot: HostSlot,
        limit: Resources,
        now: Timestamp,
    ): Boolean {
        val permille = models.colocation.startingPermille(slot.host, colocated(task, slot, limit), now)
        val defers = priority != Priority.URGENT && permille < PERMILLE_MINIMUM
        return defers && now.millisSince(since.getOrPut(task.id) { now }) < DEFERRAL_MILLIS
    }

    fun placed(
        task: Task,
        slot: HostSlot,
        limit: Resources,
        now: Timestamp,
    ) {
        since.remove(task.id)
        models.colocation.placed(slot.host, colocated(task, slot, limit), now)
    }

    fun retain(waiting: Set<TaskId>) {
        since.keys.retainAll(waiting)
    }

    private fun colocated(
        task: Task,
        slot: HostSlot,
        limit: Resources,
    ): ColocatedTask {
        val profile = sources.profileOf(task.specification.profile)
        val used = models.sizes.usageOf(task.specification.kind)?.milliCores ?: limit.milliCores
        return ColocatedTask(
            taskId = task.id,
            kind = task.specification.kind,
            coreShare = used.toDouble() / slot.capacity.milliCores.coerceAtLeast(1),
            evictable = profile?.evictable == true,
            throttleable = profile?.throttleable == true,
            lostWorkCoreMillis = 0,
        )
    }
}

/** A task that may use less than half of its limit holds more cores than it uses. */
private const val PERMILLE_MINIMUM = 500

/** Longest delay by deferral; a few times the length of a wave of noisy tasks at the users of today. */
private const val DEFERRAL_MILLIS = 300_000L
