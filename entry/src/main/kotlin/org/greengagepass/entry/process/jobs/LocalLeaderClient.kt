/*
 * The way to a leader in this process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.JobRequest

/** Asks [leader]. */
internal class LocalLeaderClient(
    private val leader: Leader,
) : LeaderClient {
    private val open = LinkedHashSet<(JobReply?) -> Unit>()

    override fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        if (!leader.isActive) return false
        open += reply
        leader.execute(request) { if (open.remove(reply)) reply(it) }
        return true
    }

    /** The leadership has ended. */
    fun lost() {
        val replies = open.toList()
        open.clear()
        replies.forEach { it(null) }
    }
}
