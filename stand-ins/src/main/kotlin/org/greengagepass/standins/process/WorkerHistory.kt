/*
 * The history of a worker stand-in. Tests use it to detect two attempts of a task that overlap, or that resume from the
 * same checkpoint although the first one got further. Times of different workers are comparable only by `hostNanos`, a
 * reading of the machine's monotonic clock.
 */
package org.greengagepass.standins.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.AttemptState

/** Start or end of an attempt. [state] is RUNNING for a start. */
@Serializable
public data class HistoryEvent(
    val sequence: Long,
    val worker: String,
    val hostNanos: Long,
    val taskId: TaskId,
    val token: FencingToken,
    val state: AttemptState,
    val checkpoint: Checkpoint,
    val limit: Resources,
)

/** Events from a sequence number on, the capacity, and the highest usage at any time. */
@Serializable
public data class HistoryPage(
    val events: List<HistoryEvent>,
    val capacity: Resources,
    val mostInUse: Resources,
)

/** Events of the worker named [worker], in order. */
internal class EventList(
    private val worker: String,
) {
    private val events = mutableListOf<HistoryEvent>()

    /** Records the new state of [attempt]. */
    fun record(attempt: SimulatedAttempt) {
        events +=
            HistoryEvent(
                sequence = events.size.toLong(),
                worker = worker,
                hostNanos = System.nanoTime(),
                taskId = attempt.start.taskId,
                token = attempt.token,
                state = attempt.state,
                checkpoint = attempt.checkpoint,
                limit = attempt.start.limit,
            )
    }

    /** Returns the events from [sequence] on. */
    fun from(sequence: Long): List<HistoryEvent> = events.drop(sequence.coerceIn(0, events.size.toLong()).toInt())
}
