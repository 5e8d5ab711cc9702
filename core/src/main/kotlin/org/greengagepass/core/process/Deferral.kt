/*
 * Defers tasks that could run only under a strong throttle: they would occupy cores that other work can use. The
 * delay is bounded, so that such a task eventually runs throttled.
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
    private val deferredSince = HashMap<TaskId, Timestamp>()

    /** True if [task] should not start yet on [host], the best of its candidates. */
    fun defers(
        task: Task,
        priority: Priority,
        host: HostState,
        limit: Resources,
        now: Timestamp,
    ): Boolean {
        val permille = models.colocation.startingPermille(host.id, colocated(task, host, limit), now)
        val defers = priority != Priority.URGENT && permille < PERMILLE_MINIMUM
        return defers && now.millisSince(deferredSince.getOrPut(task.id) { now }) < DEFERRAL_MILLIS
    }

    fun placed(
        task: Task,
        host: HostState,
        limit: Resources,
        now: Timestamp,
    ) {
        deferredSince.remove(task.id)
        models.colocation.placed(host.id, colocated(task, host, limit), now)
    }

    fun retain(waiting: Set<TaskId>) {
        deferredSince.keys.retainAll(waiting)
    }

    private fun colocated(
        task: Task,
        host: HostState,
        limit: Resources,
    ): ColocatedTask {
        val profile = sources.profileOf(task.specification.profile)
        val used = models.sizes.usageOf(task.specification.kind)?.milliCores ?: limit.milliCores
        return ColocatedTask(
            taskId = task.id,
            kind = task.specification.kind,
            coreShare = used.toDouble() / host.capacity.milliCores.coerceAtLeast(1),
            evictable = profile?.evictable == true,
            throttleable = profile?.throttleable == true,
            lostWorkCoreMillis = 0,
        )
    }
}

/** Below half of its limit a task occupies more cores than it uses. */
private const val PERMILLE_MINIMUM = 500

/** Longest deferral; several times as long as a burst of noisy tasks at current users. */
private const val DEFERRAL_MILLIS = 300_000L
