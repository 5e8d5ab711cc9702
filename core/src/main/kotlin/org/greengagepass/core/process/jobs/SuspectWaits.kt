/*
 * How long suspects, which are tasks under which an executor has crashed, have waited for a host of their own.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Waits of suspects, as of the last call of [update]. */
internal class SuspectWaits {
    private val waitingSince = HashMap<TaskKey, Timestamp>()
    private var now = Timestamp(0)

    /** Notes that [waiting] are the suspects that wait at [now]. */
    fun update(
        waiting: List<JobTask>,
        now: Timestamp,
    ) {
        this.now = now
        waitingSince.keys.retainAll(waiting.mapTo(HashSet()) { it.key })
        waiting.forEach { waitingSince.putIfAbsent(it.key, now) }
    }

    /** True if [task] has waited for so long that more hosts are set aside. */
    fun needsMoreHosts(task: JobTask): Boolean = hasWaited(task, MORE_HOSTS_AFTER_MILLIS)

    /** True if [task] has waited for so long that it is placed like other tasks. */
    fun isOverdue(task: JobTask): Boolean = hasWaited(task, ISOLATION_WAIT_MILLIS)

    private fun hasWaited(
        task: JobTask,
        millis: Long,
    ): Boolean = waitingSince[task.key]?.let { now.millisSince(it) >= millis } ?: false

    private companion object {
        /** Half of the time after which suspects are no longer isolated. */
        private const val MORE_HOSTS_AFTER_MILLIS = 1_000L

        /** The users allow a task that could run to wait for 3 s; its start takes some of that. */
        private const val ISOLATION_WAIT_MILLIS = 2_000L
    }
}
