/*
 * The way to a leader in another process.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.JobQuestion
import org.greengagepass.protocol.connection.ToScheduler

/** Asks over [connection]. */
internal class RemoteLine(
    private val connection: FramedConnection<ToScheduler, FromScheduler>,
) : SchedulerLine {
    private val open = HashMap<Long, (JobReply?) -> Unit>()
    private var lastNumber = 0L

    override fun ask(
        question: JobQuestion,
        reply: (JobReply?) -> Unit,
    ): Boolean {
        lastNumber += 1
        open[lastNumber] = reply
        val isSent = connection.send(ToScheduler.Ask(lastNumber, question))
        if (!isSent) open.remove(lastNumber)
        return isSent
    }

    /** The leader has answered. */
    fun answered(answer: FromScheduler.Answer) {
        open.remove(answer.number)?.invoke(answer.reply)
    }

    /** The connection has ended. */
    fun lost() {
        val replies = open.values.toList()
        open.clear()
        replies.forEach { it(null) }
    }
}
