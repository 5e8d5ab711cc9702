/*
 * The tasks of a partition, with indices that keep the cost of a change independent of the number of tasks.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId

/** Tasks by identifier, with indices of waiting, assigned and ended tasks, each in the order of the records. */
public class TaskTable internal constructor() {
    private val tasks = HashMap<TaskId, Task>()
    private val waitingTasks = LinkedHashMap<TaskId, Task>()
    private val endedTasks = LinkedHashMap<TaskId, Task>()
    private val tasksByHost = HashMap<HostId, LinkedHashMap<TaskId, Task>>()

    /** Tasks without an attempt, longest waiting first. */
    public val waiting: Collection<Task>
        get() = waitingTasks.values

    /** Ended tasks that are still retained, first ended first. */
    public val ended: Collection<Task>
        get() = endedTasks.values

    /** Hosts that tasks are assigned to. */
    public val hosts: Set<HostId>
        get() = tasksByHost.keys

    /** All tasks, in no order. */
    public val all: Collection<Task>
        get() = tasks.values

    /** The task with [taskId]; null if it does not exist or was dropped after its retention. */
    public operator fun get(taskId: TaskId): Task? = tasks[taskId]

    /** Tasks assigned to or running on [host], first assigned first. */
    public fun on(host: HostId): Collection<Task> = tasksByHost[host]?.values.orEmpty()

    internal fun put(task: Task) {
        val previous = tasks.put(task.id, task)
        if (previous != null && !sharesIndex(previous, task)) {
            removeFromIndex(previous)
        }
        indexFor(task)[task.id] = task
    }

    internal fun forget(taskId: TaskId): Boolean {
        val isForgotten = endedTasks.remove(taskId) != null
        if (isForgotten) {
            tasks.remove(taskId)
        }
        return isForgotten
    }

    private fun sharesIndex(
        first: Task,
        second: Task,
    ): Boolean = first.hasEnded == second.hasEnded && first.state.attempt?.host == second.state.attempt?.host

    private fun indexFor(task: Task): LinkedHashMap<TaskId, Task> {
        val host = task.state.attempt?.host
        return when {
            host != null -> tasksByHost.getOrPut(host) { LinkedHashMap() }
            task.hasEnded -> endedTasks
            else -> waitingTasks
        }
    }

    private fun removeFromIndex(task: Task) {
        val index = indexFor(task)
        index.remove(task.id)
        val host = task.state.attempt?.host
        if (host != null && index.isEmpty()) {
            tasksByHost.remove(host)
        }
    }
}
