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
import org.greengagepass.protocol.connection.JobQuestion
import org.greengagepass.services.process.JobGateway

/** A way to the leader. */
public interface SchedulerLine {
    /** Sends [question]; [reply] gets the answer, or null if the line is lost before. False if it was not sent. */
    public fun ask(
        question: JobQuestion,
        reply: (JobReply?) -> Unit,
    ): Boolean
}

/** Asks over the [line] that stands at the moment. */
public class CallerGateway(
    private val decisions: CoroutineDispatcher,
    private val clock: () -> Timestamp,
) : JobGateway {
    /** The way to the leader, or null while there is none. */
    public val line: MutableStateFlow<SchedulerLine?> = MutableStateFlow(null)

    override suspend fun submit(
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        answerBy: Timestamp,
    ): JobReply = ask(JobQuestion.Submit(id, queue, specification), answerBy)

    override suspend fun find(
        id: JobId,
        answerBy: Timestamp,
    ): JobReply = ask(JobQuestion.Find(id), answerBy)

    override suspend fun cancel(
        id: JobId,
        answerBy: Timestamp,
    ): JobReply = ask(JobQuestion.Cancel(id), answerBy)

    override suspend fun countPending(
        queue: QueueName,
        answerBy: Timestamp,
    ): JobReply = ask(JobQuestion.CountPending(queue), answerBy)

    private suspend fun ask(
        question: JobQuestion,
        answerBy: Timestamp,
    ): JobReply =
        withContext(decisions) {
            var wasLost = false
            var result: JobReply? = null
            while (result == null) {
                val remainingMillis = answerBy.millisSince(clock())
                val waitMillis = if (wasLost) remainingMillis else minOf(remainingMillis, LEADER_WAIT_MILLIS)
                val current = withTimeoutOrNull(waitMillis) { line.filterNotNull().first() }
                if (current == null) {
                    result = withoutLeader(wasLost)
                } else {
                    val reply = askOnce(current, question, answerBy)
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
    private suspend fun askOnce(
        current: SchedulerLine,
        question: JobQuestion,
        answerBy: Timestamp,
    ): JobReply? {
        val answer = CompletableDeferred<JobReply?>()
        if (!current.ask(question) { answer.complete(it) }) {
            line.compareAndSet(current, null)
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
