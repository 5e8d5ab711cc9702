/*
 * Events of attempts for the owner of the partition. The end of an attempt is repeated until the owner has recorded it.
 * Earlier events are sent once to each owner, since heartbeats carry the same state.
 */
package org.greengagepass.agent.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.TaskId
import org.greengagepass.protocol.connection.AgentMessage.TaskEvent
import org.greengagepass.protocol.connection.TaskChange

/** Events that the owner may not have received yet. */
internal class TaskEvents {
    private val progress = LinkedHashMap<FencingToken, MutableList<TaskEvent>>()
    private val ends = LinkedHashMap<FencingToken, TaskEvent>()
    private val unsent = mutableListOf<TaskEvent>()

    /** Adds the start of the attempt with [token] unless it is already known. */
    fun started(
        taskId: TaskId,
        token: FencingToken,
    ) {
        if (token !in progress && token !in ends) add(TaskEvent(taskId, token, TaskChange.Started))
    }

    /** Adds a checkpoint of the attempt with [token] unless the attempt has ended. */
    fun checkpointed(
        taskId: TaskId,
        token: FencingToken,
        change: TaskChange.Checkpointed,
    ) {
        if (token !in ends) add(TaskEvent(taskId, token, change))
    }

    /** Adds the end or the refusal of an attempt. Only the first one counts. */
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

    /** Returns true if the attempt with [token] has ended and its end is not recorded yet. */
    fun hasEnd(token: FencingToken): Boolean = token in ends

    /** Removes the events of [tokens], whose ends the owner has recorded. */
    fun recorded(tokens: List<FencingToken>) {
        tokens.forEach { token ->
            progress.remove(token)
            ends.remove(token)
        }
        unsent.removeIf { it.token in tokens }
    }

    /** Returns the events that were not sent yet and marks them as sent. */
    fun takeUnsent(): List<TaskEvent> = unsent.toList().also { unsent.clear() }

    /** Returns the ends to send again every second. */
    fun unrecordedEnds(): List<TaskEvent> = ends.values.toList()

    /** Returns all events that a new owner may lack, in order. */
    fun all(): List<TaskEvent> = progress.values.flatten() + ends.values

    private fun add(event: TaskEvent) {
        val events = progress.getOrPut(event.token) { mutableListOf() }
        events.removeIf { it.change.javaClass == event.change.javaClass }
        events += event
        unsent += event
    }
}
