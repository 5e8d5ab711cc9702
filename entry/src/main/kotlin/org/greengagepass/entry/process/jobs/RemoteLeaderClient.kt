/*
 * Sends requests to a leader in another process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.JobRequest
import org.greengagepass.protocol.connection.ToScheduler

/** Sends requests over [connection]. */
internal class RemoteLeaderClient(
    private val connection: FramedConnection<ToScheduler, FromScheduler>,
) : LeaderClient {
    private val pending = HashMap<Long, (JobReply?) -> Unit>()
    private var lastNumber = 0L

    override fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        lastNumber += 1
        pending[lastNumber] = reply
        val isSent = connection.send(ToScheduler.Request(lastNumber, request))
        if (!isSent) pending.remove(lastNumber)
        return isSent
    }

    /** The leader has replied to a request. */
    fun onReply(message: FromScheduler.Reply) {
        pending.remove(message.number)?.invoke(message.reply)
    }

    /** The connection has ended. */
    fun onDisconnected() {
        val replies = pending.values.toList()
        pending.clear()
        replies.forEach { it(null) }
    }
}
