/*
 * Passes requests to the leader in this process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.JobRequest

/** Passes requests to [leader]. */
internal class LocalLeaderClient(
    private val leader: Leader,
) : LeaderClient {
    private val pending = LinkedHashSet<(JobReply?) -> Unit>()

    override fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        if (!leader.isActive) return false
        pending += reply
        leader.execute(request) { if (pending.remove(reply)) reply(it) }
        return true
    }

    /** The leadership has ended. */
    fun onLeadershipEnded() {
        val replies = pending.toList()
        pending.clear()
        replies.forEach { it(null) }
    }
}
