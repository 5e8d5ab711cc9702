/*
 * The way to a leader in this process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.JobQuestion

/** Asks [leader]. */
internal class LocalLine(
    private val leader: Leader,
) : SchedulerLine {
    private val open = LinkedHashSet<(JobReply?) -> Unit>()

    override fun ask(
        question: JobQuestion,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        if (!leader.isActive) return false
        open += reply
        leader.ask(question) { if (open.remove(reply)) reply(it) }
        return true
    }

    /** The leadership has ended. */
    fun lost() {
        val replies = open.toList()
        open.clear()
        replies.forEach { it(null) }
    }
}
