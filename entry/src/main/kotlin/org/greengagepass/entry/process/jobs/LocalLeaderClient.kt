/*
 * Passes requests to the leader in this process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.JobRequest

/** Passes requests to [leader]. */
internal class LocalLeaderClient(
    private val leader: Leader,
) : LeaderClient {
    private val pending = LinkedHashSet<(JobReply?) -> Unit>()

    /** False while the leader can't write to the store. */
    val isStoreAvailable: Boolean
        get() = leader.isStoreAvailable

    /** True if a leader of [epoch] replaces this one. */
    fun isSupersededBy(epoch: Epoch): Boolean = epoch > leader.leadership.epoch

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
