/*
 * History of a worker stand-in, for tests: two attempts of a task that overlap, or that resume from the same
 * checkpoint although the first got further, show here. Times of different workers are comparable only by
 * hostNanos, the reading of the machine's monotonic clock.
 */
package org.greengagepass.standins.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.AttemptState

/** One start or end of an attempt; [state] is RUNNING for a start. */
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

/** Everything that happened since a sequence number, and the most that was in use at a time. */
@Serializable
public data class HistoryPage(
    val events: List<HistoryEvent>,
    val capacity: Resources,
    val mostInUse: Resources,
)

/** Events of the worker called [worker], in order. */
internal class EventList(
    private val worker: String,
) {
    private val events = mutableListOf<HistoryEvent>()

    /** Notes the state that [attempt] has entered. */
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

    /** Events from [sequence] on. */
    fun from(sequence: Long): List<HistoryEvent> = events.drop(sequence.coerceIn(0, events.size.toLong()).toInt())
}
