/*
 * State of the colocation controller for one host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** A slowdown expected of a newly placed task; it counts until observations contain the task, at most until [until]. */
private class ExpectedSlowdown(
    val slowdown: Double,
    val until: Timestamp,
)

/** Consecutive windows above or below the objective, throttled tasks, and the start of valid measurements. */
internal class HostControl {
    private val pending = LinkedHashMap<ColocationAction, Timestamp>()

    /** Actions without a confirmation, including those whose timeout has passed. */
    private val unconfirmed = LinkedHashSet<ColocationAction>()

    /** Throttled tasks with the share of its limit that each may use, in thousandths. */
    val throttled = LinkedHashMap<TaskId, Int>()
    var lastObservation: HostObservation? = null

    /** Logarithms of the slowdowns expected of placed tasks that no observation contains yet. */
    private val expected = HashMap<TaskId, ExpectedSlowdown>()
    var evictsNext = false
        private set
    var measurementsValidFrom = Timestamp(Long.MIN_VALUE)
    var windowsAbove = 0
        private set
    var windowsBelow = 0
        private set

    val hasPending: Boolean
        get() = pending.isNotEmpty()

    fun countAbove() {
        windowsAbove++
        windowsBelow = 0
    }

    fun countBelow() {
        windowsBelow++
        windowsAbove = 0
        evictsNext = false
    }

    fun resetCounts() {
        windowsBelow = 0
        windowsAbove = 0
    }

    /** Handles that [action] was decided; measurements are ignored until it has taken effect. */
    fun actionStarted(
        action: ColocationAction,
        now: Timestamp,
    ) {
        pending[action] = now.plusMillis(ColocationController.ACTION_TIMEOUT_MILLIS)
        unconfirmed += action
        when (action) {
            is ColocationAction.Throttle -> throttled[action.taskId] = action.permille
            is ColocationAction.Release, is ColocationAction.Evict -> throttled.remove(action.taskId)
        }
        evictsNext = action is ColocationAction.Throttle && windowsAbove > 0
        resetCounts()
    }

    fun tookEffect(
        action: ColocationAction,
        at: Timestamp,
    ) {
        if (!unconfirmed.remove(action)) return
        pending.remove(action)
        measurementsValidFrom = maxOf(measurementsValidFrom, at)
    }

    /** Drops pending actions that timed out. They may have taken effect, so measurements count only from then on. */
    fun expirePending(now: Timestamp) {
        val expired = pending.filterValues { it <= now }
        expired.forEach { (action, deadline) ->
            pending.remove(action)
            measurementsValidFrom = maxOf(measurementsValidFrom, deadline)
        }
    }

    fun expect(
        taskId: TaskId,
        slowdown: Double,
        now: Timestamp,
    ) {
        expected[taskId] = ExpectedSlowdown(slowdown, now.plusMillis(ColocationController.ACTION_TIMEOUT_MILLIS))
    }

    /** Sum of the slowdowns expected of tasks other than [except]. */
    fun expectedSlowdown(
        except: TaskId,
        now: Timestamp,
    ): Double =
        expected
            .filter { (taskId, value) -> taskId != except && value.until > now }
            .values
            .sumOf { it.slowdown }

    /** Removes the state of tasks that are not in [tasks], which were observed after the last action. */
    fun removeEnded(tasks: List<ColocatedTask>) {
        val present = tasks.mapTo(HashSet()) { it.taskId }
        expected.keys.removeAll(present)
        throttled.keys.retainAll(present)
        unconfirmed.removeIf { it.taskId !in present }
    }
}
