/*
 * State of the colocation control of one host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** A slowdown that is expected and will show in observations before [until], or not at all. */
private class ExpectedSlowdown(
    val slowdown: Double,
    val until: Timestamp,
)

/** Windows in a row on one side of the objective, what is throttled, and from when on evidence counts. */
internal class HostControl {
    private val pending = LinkedHashMap<ColocationAction, Timestamp>()

    /** Actions whose confirmation may still come, after they were given up too. */
    private val unconfirmed = LinkedHashSet<ColocationAction>()

    /** Throttled tasks with what each may use of its limit, in thousandths. */
    val throttled = LinkedHashMap<TaskId, Int>()
    var last: HostObservation? = null

    /** Logarithms of the slowdowns that are expected from tasks placed lately and not yet observed. */
    private val expected = HashMap<TaskId, ExpectedSlowdown>()
    var evictsNext = false
        private set
    var evidenceFrom = Timestamp(Long.MIN_VALUE)
    var excess = 0
        private set
    var calm = 0
        private set

    val hasPending: Boolean
        get() = pending.isNotEmpty()

    fun countExcess() {
        excess++
        calm = 0
    }

    fun countCalm() {
        calm++
        excess = 0
        evictsNext = false
    }

    fun countBetween() {
        calm = 0
        excess = 0
    }

    /** [action] was decided; further evidence counts only once it has taken effect. */
    fun began(
        action: ColocationAction,
        now: Timestamp,
    ) {
        pending[action] = now.plusMillis(ColocationController.ACTION_TIMEOUT_MILLIS)
        unconfirmed += action
        when (action) {
            is ColocationAction.Throttle -> throttled[action.taskId] = action.permille
            is ColocationAction.Release, is ColocationAction.Evict -> throttled.remove(action.taskId)
        }
        evictsNext = action is ColocationAction.Throttle && excess > 0
        countBetween()
    }

    fun tookEffect(
        action: ColocationAction,
        at: Timestamp,
    ) {
        if (!unconfirmed.remove(action)) return
        pending.remove(action)
        evidenceFrom = maxOf(evidenceFrom, at)
    }

    /** An action may have taken effect without a confirmation, so evidence counts only from its timeout on. */
    fun giveUpPending(now: Timestamp) {
        val expired = pending.filterValues { it <= now }
        expired.forEach { (action, deadline) ->
            pending.remove(action)
            evidenceFrom = maxOf(evidenceFrom, deadline)
        }
    }

    fun expect(
        taskId: TaskId,
        slowdown: Double,
        now: Timestamp,
    ) {
        expected[taskId] = ExpectedSlowdown(slowdown, now.plusMillis(ColocationController.ACTION_TIMEOUT_MILLIS))
    }

    /** What is expected from tasks other than [except]. */
    fun expectedSlowdown(
        except: TaskId,
        now: Timestamp,
    ): Double =
        expected
            .filter { (taskId, value) -> taskId != except && value.until > now }
            .values
            .sumOf { it.slowdown }

    /** Drops what concerns tasks that are not in [tasks], which were observed after the last action. */
    fun forgetGone(tasks: List<ColocatedTask>) {
        val present = tasks.mapTo(HashSet()) { it.taskId }
        expected.keys.removeAll(present)
        throttled.keys.retainAll(present)
        unconfirmed.removeIf { it.taskId !in present }
    }
}
