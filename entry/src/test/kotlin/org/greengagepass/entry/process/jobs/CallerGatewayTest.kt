package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.StandardTestDispatcher
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.protocol.connection.JobRequest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo

class CallerGatewayTest {
    private val queue = QueueDefinition(QueueName("queue"), ServiceName("pool"))

    private fun TestScope.gateway() =
        CallerGateway(StandardTestDispatcher(testScheduler)) { Timestamp(testScheduler.currentTime) }

    private suspend fun CallerGateway.submit() =
        submit(JobId("0123456789abcdef"), queue, JobSpecification("", emptyList()), Timestamp(3_000))

    @Test
    fun `a job that reached no scheduler is refused as not run, and soon`() =
        runTest {
            val gateway = gateway()
            expectThat(gateway.submit()).isA<JobReply.NotRun>()
            expectThat(testScheduler.currentTime).isEqualTo(500)
        }

    @Test
    fun `a job whose scheduler was lost goes to the next one`() =
        runTest {
            val gateway = gateway()
            val lost = RecordingLine()
            gateway.leaderClient.value = lost
            launch {
                lost.awaitQuestion().invoke(null)
                gateway.leaderClient.value = AnsweringLine(JobReply.Accepted)
            }
            expectThat(gateway.submit()).isEqualTo(JobReply.Accepted)
        }

    @Test
    fun `a refusal is not passed on if an earlier scheduler may have taken the job`() =
        runTest {
            // Guards against "not run" for a job that runs: the first message may still be read by its scheduler.
            val gateway = gateway()
            val lost = RecordingLine()
            gateway.leaderClient.value = lost
            launch {
                lost.awaitQuestion().invoke(null)
                gateway.leaderClient.value = AnsweringLine(JobReply.NotRun(1_000, "the store does not answer"))
            }
            expectThat(gateway.submit()).isA<JobReply.Uncertain>()
        }

    @Test
    fun `without an answer by the deadline the outcome is uncertain`() =
        runTest {
            val gateway = gateway()
            gateway.leaderClient.value = RecordingLine()
            expectThat(gateway.submit()).isA<JobReply.Uncertain>()
            expectThat(testScheduler.currentTime).isEqualTo(3_000)
        }

    private class RecordingLine : LeaderClient {
        private val asked = CompletableDeferred<(JobReply?) -> Unit>()

        override fun execute(
            request: JobRequest,
            reply: (JobReply?) -> Unit,
        ): Boolean = asked.complete(reply)

        suspend fun awaitQuestion(): (JobReply?) -> Unit = asked.await()
    }

    private class AnsweringLine(
        private val answer: JobReply,
    ) : LeaderClient {
        override fun execute(
            request: JobRequest,
            reply: (JobReply?) -> Unit,
        ): Boolean {
            reply(answer)
            return true
        }
    }
}
