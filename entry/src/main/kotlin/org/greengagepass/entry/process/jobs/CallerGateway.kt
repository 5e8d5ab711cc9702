/*
 * Passes callers' requests to the leader in this or another process. When the connection to a leader is lost, its
 * pending requests go to the next one; a submission carries its identifier, so it is accepted only once.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.protocol.connection.JobRequest
import org.greengagepass.services.process.JobGateway

/** Sends callers' requests to the leader. */
public interface LeaderClient {
    /**
     * Sends [request]. [reply] gets the leader's reply, or null if the connection or the leadership ends first.
     * Returns false if the request was not sent.
     */
    public fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean
}

/** Sends requests through the current [leaderClient]. */
public class CallerGateway(
    private val decisions: CoroutineDispatcher,
    private val clock: () -> Timestamp,
) : JobGateway {
    /** Client of the current leader, or null while there is none. */
    public val leaderClient: MutableStateFlow<LeaderClient?> = MutableStateFlow(null)

    override suspend fun submit(
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        replyDeadline: Timestamp,
    ): JobReply = execute(JobRequest.Submit(id, queue, specification), replyDeadline)

    override suspend fun find(
        id: JobId,
        replyDeadline: Timestamp,
    ): JobReply = execute(JobRequest.Find(id), replyDeadline)

    override suspend fun cancel(
        id: JobId,
        replyDeadline: Timestamp,
    ): JobReply = execute(JobRequest.Cancel(id), replyDeadline)

    override suspend fun countPending(
        queue: QueueName,
        replyDeadline: Timestamp,
    ): JobReply = execute(JobRequest.CountPending(queue), replyDeadline)

    private suspend fun execute(
        request: JobRequest,
        replyDeadline: Timestamp,
    ): JobReply =
        withContext(decisions) {
            val waitsUntil = minOf(replyDeadline, clock().plusMillis(LEADER_WAIT_MILLIS))
            var wasSent = false
            var result: JobReply? = null
            while (result == null) {
                val until = if (wasSent) replyDeadline else waitsUntil
                val client = awaitClient(until)
                val attempt = client?.let { executeOnce(it, request, replyDeadline) }
                when (attempt) {
                    null -> result = withoutLeader(wasSent)
                    // The queue of the connection is full, or the client is about to be replaced.
                    Attempt.NotSent ->
                        if (clock() < until) delay(SEND_RETRY_MILLIS) else result = withoutLeader(wasSent)
                    Attempt.Lost -> wasSent = true
                    is Attempt.Replied -> result = withEarlierAttempt(attempt.reply, wasSent)
                }
            }
            result
        }

    private suspend fun awaitClient(until: Timestamp): LeaderClient? =
        withTimeoutOrNull(until.millisSince(clock())) { leaderClient.filterNotNull().first() }

    /** A refusal says nothing about an earlier leader, which may have accepted the request. */
    private fun withEarlierAttempt(
        reply: JobReply,
        wasSent: Boolean,
    ): JobReply = if (reply is JobReply.NotRun && wasSent) JobReply.Uncertain(reply.reason) else reply

    private fun withoutLeader(wasSent: Boolean): JobReply =
        if (wasSent) {
            JobReply.Uncertain("the connection to the leader was lost before it replied")
        } else {
            JobReply.NotRun(RETRY_MILLIS, "no leader is available")
        }

    private suspend fun executeOnce(
        client: LeaderClient,
        request: JobRequest,
        replyDeadline: Timestamp,
    ): Attempt {
        val reply = CompletableDeferred<JobReply?>()
        if (!client.execute(request) { reply.complete(it) }) return Attempt.NotSent
        val remainingMillis = replyDeadline.millisSince(clock())
        return withTimeoutOrNull(remainingMillis) { reply.await()?.let { Attempt.Replied(it) } ?: Attempt.Lost }
            ?: Attempt.Replied(JobReply.Uncertain("the leader did not reply in time"))
    }

    /** Result of sending a request once. */
    private sealed class Attempt {
        /** The request was not sent. */
        data object NotSent : Attempt()

        /** The connection or the leadership ended before the reply. */
        data object Lost : Attempt()

        data class Replied(
            val reply: JobReply,
        ) : Attempt()
    }

    private companion object {
        /** A leader that was killed is replaced in about this time. After it the caller is better served elsewhere. */
        private const val LEADER_WAIT_MILLIS = 500L

        /** A leader that has become silent is replaced in about two seconds. */
        private const val RETRY_MILLIS = 1_000L

        /** A connection writes its queue in some milliseconds. */
        private const val SEND_RETRY_MILLIS = 20L
    }
}
