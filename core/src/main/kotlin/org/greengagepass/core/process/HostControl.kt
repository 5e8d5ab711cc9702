/*
 * State of the colocation control of one host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** An action that was decided and is not known to have taken effect. */
internal class PendingAction(
    val action: ColocationAction,
    val deadline: Timestamp,
)

/** Windows in a row on one side of the objective, what is throttled, and from when on evidence counts. */
internal class HostControl {
    val throttled = LinkedHashSet<TaskId>()
    var pending: PendingAction? = null
    var lastAction: ColocationAction? = null
        private set
    var evidenceFrom = Timestamp(Long.MIN_VALUE)
    var excess = 0
        private set
    var calm = 0
        private set

    fun countExcess() {
        excess++
        calm = 0
    }

    fun countCalm() {
        calm++
        excess = 0
    }

    fun countBetween() {
        calm = 0
        excess = 0
    }

    fun began(
        action: ColocationAction,
        now: Timestamp,
    ) {
        countBetween()
        lastAction = action
        pending = PendingAction(action, now.plusMillis(ColocationController.ACTION_TIMEOUT_MILLIS))
        when (action) {
            is ColocationAction.Throttle -> throttled.add(action.taskId)
            is ColocationAction.Release, is ColocationAction.Evict -> throttled.remove(action.taskId)
        }
    }

    /** An action may have taken effect without a confirmation, so evidence counts only from its timeout on. */
    fun giveUpPending(now: Timestamp) {
        val expired = pending?.takeIf { it.deadline <= now } ?: return
        pending = null
        evidenceFrom = maxOf(evidenceFrom, expired.deadline)
    }

    fun forgetGone(tasks: List<ColocatedTask>) {
        throttled.retainAll(tasks.mapTo(HashSet()) { it.taskId })
    }
}
