/*
 * Order of a placement round: by priority, and within a priority the team with the lowest share first.
 */
package org.greengagepass.core.process

import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority
import java.util.PriorityQueue

/** Waiting tasks of one team and priority, longest waiting first. */
private class TeamQueue(
    val priority: Priority,
    val team: TeamName,
) {
    val tasks = ArrayDeque<Task>()
    var share = 0.0
}

private data class TeamPriority(
    val priority: Priority,
    val team: TeamName,
)

/** Returns waiting tasks in order; the position of a team is recomputed after each of its tasks. */
internal class FairQueue(
    private val fairShare: FairShare,
    private val now: Timestamp,
) {
    private val queues = HashMap<TeamPriority, TeamQueue>()
    private val order =
        PriorityQueue<TeamQueue>(
            compareBy<TeamQueue> { it.priority }
                .thenBy { it.share }
                .thenBy { it.tasks.first().phaseSince },
        )

    /** Adds [task]; tasks are added longest waiting first. */
    fun add(
        task: Task,
        priority: Priority,
    ) {
        val team = task.specification.team
        queues.getOrPut(TeamPriority(priority, team)) { TeamQueue(priority, team) }.tasks.addLast(task)
    }

    /** Orders the teams; called after all tasks have been added. */
    fun build() {
        queues.values.forEach(::enqueue)
    }

    /** Passes the next task to [decide] and returns true; false if there is none. */
    fun next(decide: (Task, Priority) -> Unit): Boolean {
        val queue = order.poll() ?: return false
        decide(queue.tasks.removeFirst(), queue.priority)
        if (queue.tasks.isNotEmpty()) enqueue(queue)
        return true
    }

    private fun enqueue(queue: TeamQueue) {
        queue.share = fairShare.shareOf(queue.team, now)
        order += queue
    }
}
