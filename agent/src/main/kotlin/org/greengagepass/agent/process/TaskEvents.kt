/*
 * Events of attempts on their way to the owner of the partition. The end of an attempt is repeated until the owner
 * has recorded it. What happens before the end is sent once to each owner, since heartbeats show it too.
 */
package org.greengagepass.agent.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.TaskId
import org.greengagepass.protocol.connection.AgentMessage.TaskEvent
import org.greengagepass.protocol.connection.TaskChange

/** Events that the owner may not know yet. */
internal class TaskEvents {
    private val progress = LinkedHashMap<FencingToken, MutableList<TaskEvent>>()
    private val ends = LinkedHashMap<FencingToken, TaskEvent>()
    private val unsent = mutableListOf<TaskEvent>()

    /** The attempt with [token] runs; known starts are not reported again. */
    fun started(
        taskId: TaskId,
        token: FencingToken,
    ) {
        if (token !in progress && token !in ends) add(TaskEvent(taskId, token, TaskChange.Started))
    }

    /** The attempt reached a checkpoint. */
    fun checkpointed(
        taskId: TaskId,
        token: FencingToken,
        change: TaskChange.Checkpointed,
    ) {
        if (token !in ends) add(TaskEvent(taskId, token, change))
    }

    /** The attempt has ended or was refused by [change]. Only the first end counts. */
    fun ended(
        taskId: TaskId,
        token: FencingToken,
        change: TaskChange,
    ) {
        if (token in ends) return
        val event = TaskEvent(taskId, token, change)
        ends[token] = event
        unsent += event
    }

    /** True if the attempt with [token] has ended and its end is not recorded yet. */
    fun hasEnd(token: FencingToken): Boolean = token in ends

    /** The ends of [tokens] are recorded. */
    fun recorded(tokens: List<FencingToken>) {
        tokens.forEach { token ->
            progress.remove(token)
            ends.remove(token)
        }
        unsent.removeIf { it.token in tokens }
    }

    /** Events that were not sent yet. */
    fun takeUnsent(): List<TaskEvent> = unsent.toList().also { unsent.clear() }

    /** Events to send again every second. */
    fun repeated(): List<TaskEvent> = ends.values.toList()

    /** Everything that a new owner may not know, in order. */
    fun all(): List<TaskEvent> = progress.values.flatten() + ends.values

    private fun add(event: TaskEvent) {
        val events = progress.getOrPut(event.token) { mutableListOf() }
        events.removeIf { it.change.javaClass == event.change.javaClass }
        events += event
        unsent += event
    }
}
