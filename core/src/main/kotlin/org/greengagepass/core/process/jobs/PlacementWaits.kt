/*
 * How long tasks have waited for a host, for those whose wait is bounded: suspects, which are tasks under which an
 * executor has crashed, standing tasks, members of gangs, and one task of each job that has no task on a host.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** A task that has waited for a host since [since]. */
internal data class PlacementWait(
    val task: JobTask,
    val since: Timestamp,
)

/** Waits of tasks, as of the last call of [update]. */
internal class PlacementWaits {
    private val waits = HashMap<TaskKey, PlacementWait>()
    private var now = Timestamp(0)

    /** Notes that [waiting] are the tasks that wait at [now]. */
    fun update(
        waiting: List<JobTask>,
        now: Timestamp,
    ) {
        this.now = now
        waits.keys.retainAll(waiting.mapTo(HashSet()) { it.key })
        waiting.forEach { waits.putIfAbsent(it.key, PlacementWait(it, now)) }
    }

    /** True if [task] has waited for so long that more hosts are set aside. */
    fun needsMoreHosts(task: JobTask): Boolean = hasWaited(task, MORE_HOSTS_AFTER_MILLIS)

    /** True if [task] has waited for so long that it is placed on any host that can take it. */
    fun isOverdue(task: JobTask): Boolean = hasWaited(task, OVERDUE_MILLIS)

    /** The waits of at least [millis] of tasks that still wait, longest first. */
    fun atLeast(millis: Long): List<PlacementWait> =
        waits.values
            .filter { it.task.state == TaskState.Waiting && now.millisSince(it.since) >= millis }
            .sortedBy { it.since }

    private fun hasWaited(
        task: JobTask,
        millis: Long,
    ): Boolean = waits[task.key]?.let { now.millisSince(it.since) >= millis } ?: false

    private companion object {
        /** Half of the time after which hosts that are set aside take other tasks. */
        private const val MORE_HOSTS_AFTER_MILLIS = 1_000L

        /** The users allow a task that could run to wait for 3 s; its start takes some of that. */
        private const val OVERDUE_MILLIS = 2_000L
    }
}
