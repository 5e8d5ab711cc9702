/*
 * Capacity reserved for tasks that fit on no host at the moment: for urgent tasks until evictions have freed it, and
 * for tasks that have waited too long until enough running tasks have ended.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Capacity of [limit] reserved on [host] until [expiresAt]. */
internal class Reservation(
    val taskId: TaskId,
    val host: HostId,
    val limit: Resources,
    val victims: Set<TaskId>,
    val expiresAt: Timestamp,
)

/** Reservations by task, and evictions that were requested and may not have taken place yet. */
internal class Reservations(
    private val states: HostStates,
) {
    private val byTask = HashMap<TaskId, Reservation>()
    private val evicting = HashMap<TaskId, Timestamp>()

    val size: Int
        get() = byTask.size

    operator fun get(taskId: TaskId): Reservation? = byTask[taskId]

    /** True if an eviction of [taskId] was requested, so that it is not chosen as a victim again. */
    fun isEvicting(taskId: TaskId): Boolean = taskId in evicting

    fun add(reservation: Reservation) {
        byTask[reservation.taskId] = reservation
        reservation.victims.forEach { evicting[it] = reservation.expiresAt }
        states[reservation.host]?.let {
            it.reserved += reservation.limit
            states.refresh(it)
        }
    }

    fun remove(taskId: TaskId) {
        val reservation = byTask.remove(taskId) ?: return
        states[reservation.host]?.let {
            it.reserved -= reservation.limit
            states.refresh(it)
        }
    }

    /** Drops reservations that have expired, whose task no longer waits, or whose host is absent or unavailable. */
    fun prune(
        waiting: Set<TaskId>,
        now: Timestamp,
    ) {
        val ended =
            byTask.values.filter {
                it.expiresAt <= now || it.taskId !in waiting || states[it.host]?.isAvailable != true
            }
        ended.forEach { remove(it.taskId) }
        evicting.values.removeIf { it <= now }
    }
}
