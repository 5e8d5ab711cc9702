/*
 * Requests whose reply is true only if no other leader has begun. A confirmation from before such a request says
 * nothing of a leader that has begun since, such as the successor of a suspended one, so each waits for a later one.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.protocol.connection.JobRequest

/** A request that was received at [receivedAt]. */
internal class UnconfirmedRequest(
    val request: JobRequest,
    val receivedAt: Moment,
    val reply: (JobReply) -> Unit,
)

/** Requests that wait until [confirmation] is later than they are. */
internal class UnconfirmedRequests(
    private val confirmation: Confirmation,
) {
    private val waiting = ArrayDeque<UnconfirmedRequest>()

    /** True if a request waits, so that a confirmation is needed. */
    val isWaiting: Boolean
        get() = waiting.isNotEmpty()

    fun add(request: UnconfirmedRequest) {
        waiting += request
    }

    /** Removes and returns the requests that no longer have to wait, in order. */
    fun takeConfirmed(): List<UnconfirmedRequest> =
        waiting.filter { confirmation.isLaterThan(it.receivedAt) }.also { waiting.removeAll(it) }
}
