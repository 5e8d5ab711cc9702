/*
 * Checks of what workers saw of a task: never two attempts at a time, and each attempt continues where the one before
 * it ended.
 */
package org.greengagepass.endtoend

import org.greengagepass.core.FencingToken
import org.greengagepass.services.process.AttemptState
import org.greengagepass.standins.process.HistoryEvent
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isLessThanOrEqualTo

/** Events of one task on all workers, in the order of time. */
class TaskHistory(
    private val events: List<HistoryEvent>,
) {
    /** Number of attempts. */
    val starts: Int
        get() = events.count { it.state == AttemptState.RUNNING }

    /** Number of attempts that finished the task. */
    val finishes: Int
        get() = events.count { it.state == AttemptState.FINISHED }

    /** Attempts that started while another one ran, written for a message. */
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

/** Fails if any task ran in two places at once, finished twice, or a worker held more than its capacity. */
fun TestClient.expectSafeHistory() {
    val byTask = history().groupBy { it.taskId.value }
    byTask.forEach { (taskId, events) ->
        val history = TaskHistory(events)
        expectThat(history.overlaps()).describedAs("overlapping attempts of $taskId").isEmpty()
        expectThat(history.finishes).describedAs("finishes of $taskId").isLessThanOrEqualTo(1)
    }
    pages().forEach { page ->
        expectThat(page.mostInUse.milliCores).isLessThanOrEqualTo(page.capacity.milliCores)
        expectThat(page.mostInUse.memoryMegabytes).isLessThanOrEqualTo(page.capacity.memoryMegabytes)
    }
}
