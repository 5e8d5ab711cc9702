/*
 * Room that is kept for tasks which do not fit anywhere at the moment: for urgent ones until evictions have made
 * it, and for others that have waited too long until enough of what runs there has ended.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Room of [limit] kept on [host] until [expiresAt]. */
internal class Reservation(
    val taskId: TaskId,
    val host: HostId,
    val limit: Resources,
    val victims: Set<TaskId>,
    val expiresAt: Timestamp,
)

/** Reservations by task, with the evictions that have been asked for and are not seen to have happened. */
internal class Reservations(
    private val slots: HostSlots,
) {
    private val byTask = HashMap<TaskId, Reservation>()
    private val evicting = HashMap<TaskId, Timestamp>()

    val size: Int
        get() = byTask.size

    operator fun get(taskId: TaskId): Reservation? = byTask[taskId]

    /** True if [taskId] is on its way out, so that it is no victim a second time. */
    fun isEvicting(taskId: TaskId): Boolean = taskId in evicting

    fun add(reservation: Reservation) {
        byTask[reservation.taskId] = reservation
        reservation.victims.forEach { evicting[it] = reservation.expiresAt }
        slots[reservation.host]?.let {
            it.reserved += reservation.limit
            slots.refresh(it)
        }
    }

    fun remove(taskId: TaskId) {
        val reservation = byTask.remove(taskId) ?: return
        slots[reservation.host]?.let {
            it.reserved -= reservation.limit
            slots.refresh(it)
        }
    }

    /** Drops reservations that have expired, whose task no longer waits, or whose host is gone or closed. */
    fun prune(
        waiting: Set<TaskId>,
        now: Timestamp,
    ) {
        val ended =
            byTask.values.filter {
                it.expiresAt <= now || it.taskId !in waiting || slots[it.host]?.isOpen != true
            }
        ended.forEach { remove(it.taskId) }
        evicting.values.removeIf { it <= now }
    }
}
