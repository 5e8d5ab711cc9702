/*
 * Checks on the attempts that workers recorded: no two attempts of a task at a time, at most one that finishes the
 * task, and no worker above its capacity.
 */
package org.greengagepass.endtoend

import org.greengagepass.core.FencingToken
import org.greengagepass.services.process.AttemptState
import org.greengagepass.standins.process.HistoryEvent
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo

/** Events of one task on all workers, in chronological order. */
class TaskHistory(
    private val events: List<HistoryEvent>,
) {
    /** Number of attempts. */
    val starts: Int
        get() = events.count { it.state == AttemptState.RUNNING }

    /** Number of attempts that finished the task. */
    val finishes: Int
        get() = events.count { it.state == AttemptState.FINISHED }

    /** Describes each attempt that started while another one ran. */
    fun overlaps(): List<String> {
        val running = LinkedHashSet<FencingToken>()
        val overlaps = ArrayList<String>()
        events.forEach { event ->
            if (event.state == AttemptState.RUNNING) {
                if (running.isNotEmpty()) overlaps += "$event while $running ran"
                running += event.token
            } else {
                running -= event.token
            }
        }
        return overlaps
    }
}

/** Fails if a task ran in two places at once or finished twice, or if a worker exceeded its capacity. */
fun TestClient.expectSafeHistory() {
    val byTask = history().groupBy { it.taskId.value }
    byTask.forEach { (taskId, events) ->
        val history = TaskHistory(events)
        expectThat(history.overlaps()).describedAs("overlapping attempts of $taskId").isEmpty()
        expectThat(history.finishes).describedAs("finishes of $taskId").isLessThanOrEqualTo(1)
    }
    historyPages().forEach { page ->
        expectThat(page.mostInUse.milliCores).isLessThanOrEqualTo(page.capacity.milliCores)
        expectThat(page.mostInUse.memoryMegabytes).isLessThanOrEqualTo(page.capacity.memoryMegabytes)
    }
}
