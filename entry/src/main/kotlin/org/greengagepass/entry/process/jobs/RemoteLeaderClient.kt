/*
 * The way to a leader in another process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.JobRequest
import org.greengagepass.protocol.connection.ToScheduler

/** Asks over [connection]. */
internal class RemoteLeaderClient(
    private val connection: FramedConnection<ToScheduler, FromScheduler>,
) : LeaderClient {
    private val open = HashMap<Long, (JobReply?) -> Unit>()
    private var lastNumber = 0L

    override fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        lastNumber += 1
        open[lastNumber] = reply
        val isSent = connection.send(ToScheduler.Request(lastNumber, request))
        if (!isSent) open.remove(lastNumber)
        return isSent
    }

    /** The leader has answered. */
    fun answered(answer: FromScheduler.Reply) {
        open.remove(answer.number)?.invoke(answer.reply)
    }

    /** The connection has ended. */
    fun lost() {
        val replies = open.values.toList()
        open.clear()
        replies.forEach { it(null) }
    }
}
