/*
 * The order of a placement round: urgent work first, and within a priority the team with the lowest share.
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

/** Hands out waiting tasks; a team's place is worked out anew after each of its tasks. */
internal class WaitingTeams(
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

    /** To be called once all tasks have been added. */
    fun start() {
        queues.values.forEach(::enqueue)
    }

    /** Takes the next task, lets [consider] decide on it, and returns false if there was none. */
    fun next(consider: (Task, Priority) -> Unit): Boolean {
        val queue = order.poll() ?: return false
        consider(queue.tasks.removeFirst(), queue.priority)
        if (queue.tasks.isNotEmpty()) enqueue(queue)
        return true
    }

    private fun enqueue(queue: TeamQueue) {
        queue.share = fairShare.shareOf(queue.team, now)
        order += queue
    }
}
