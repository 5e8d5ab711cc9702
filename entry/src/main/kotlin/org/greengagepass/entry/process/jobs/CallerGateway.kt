/*
 * Passes callers' questions to whoever leads, here or elsewhere. When a leader is lost, its open questions go to the
 * next one; a submission is recognised by its identifier, so it is taken once.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineDispatcher
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

/** A way to the leader. */
public interface LeaderClient {
    /** Sends [request]; [reply] gets the answer, or null if the line is lost before. False if it was not sent. */
    public fun execute(
        request: JobRequest,
        reply: (JobReply?) -> Unit,
    ): Boolean
}

/** Asks over the [leaderClient] that stands at the moment. */
public class CallerGateway(
    private val decisions: CoroutineDispatcher,
    private val clock: () -> Timestamp,
) : JobGateway {
    /** The way to the leader, or null while there is none. */
    public val leaderClient: MutableStateFlow<LeaderClient?> = MutableStateFlow(null)

    override suspend fun submit(
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        answerBy: Timestamp,
    ): JobReply = execute(JobRequest.Submit(id, queue, specification), answerBy)

    override suspend fun find(
        id: JobId,
        answerBy: Timestamp,
    ): JobReply = execute(JobRequest.Find(id), answerBy)

    override suspend fun cancel(
        id: JobId,
        answerBy: Timestamp,
    ): JobReply = execute(JobRequest.Cancel(id), answerBy)

    override suspend fun countPending(
        queue: QueueName,
        answerBy: Timestamp,
    ): JobReply = execute(JobRequest.CountPending(queue), answerBy)

    private suspend fun execute(
        request: JobRequest,
        answerBy: Timestamp,
    ): JobReply =
        withContext(decisions) {
            var wasLost = false
            var result: JobReply? = null
            while (result == null) {
                val remainingMillis = answerBy.millisSince(clock())
                val waitMillis = if (wasLost) remainingMillis else minOf(remainingMillis, LEADER_WAIT_MILLIS)
                val current = withTimeoutOrNull(waitMillis) { leaderClient.filterNotNull().first() }
                if (current == null) {
                    result = withoutLeader(wasLost)
                } else {
                    val reply = executeOnce(current, request, answerBy)
                    result = if (reply is JobReply.NotRun && wasLost) JobReply.Uncertain(reply.reason) else reply
                    wasLost = true
                }
            }
            result
        }

    private fun withoutLeader(wasLost: Boolean): JobReply =
        if (wasLost) {
            JobReply.Uncertain("the scheduler was lost before it answered")
        } else {
            JobReply.NotRun(RETRY_MILLIS, "no scheduler leads")
        }

    /** Null if the line was lost before the answer came. */
    private suspend fun executeOnce(
        current: LeaderClient,
        request: JobRequest,
        answerBy: Timestamp,
    ): JobReply? {
        val answer = CompletableDeferred<JobReply?>()
        if (!current.execute(request) { answer.complete(it) }) {
            leaderClient.compareAndSet(current, null)
            return null
        }
        val remainingMillis = answerBy.millisSince(clock())
        return withTimeoutOrNull(remainingMillis) { Answered(answer.await()) }
            .let { if (it == null) JobReply.Uncertain("the scheduler did not answer in time") else it.reply }
    }

    private class Answered(
        val reply: JobReply?,
    )

    private companion object {
        /** A leader that was killed is replaced in about this time; a longer one is better spent elsewhere. */
        private const val LEADER_WAIT_MILLIS = 500L

        /** Taking over from a leader that has gone silent takes about two seconds. */
        private const val RETRY_MILLIS = 1_000L
    }
}
