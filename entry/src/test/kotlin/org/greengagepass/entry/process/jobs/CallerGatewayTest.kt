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
    fun `without a leader a job is refused as not run after half a second`() =
        runTest {
            val gateway = gateway()
            expectThat(gateway.submit()).isA<JobReply.NotRun>()
            expectThat(testScheduler.currentTime).isEqualTo(500)
        }

    @Test
    fun `a job whose leader was lost goes to the next leader`() =
        runTest {
            val gateway = gateway()
            val lost = RecordingLeaderClient()
            gateway.leaderClient.value = lost
            launch {
                lost.awaitRequest().invoke(null)
                gateway.leaderClient.value = ReplyingLeaderClient(JobReply.Accepted)
            }
            expectThat(gateway.submit()).isEqualTo(JobReply.Accepted)
        }

    @Test
    fun `a refusal becomes uncertain if an earlier leader may have accepted the job`() =
        runTest {
            // Guards against "not run" for a job that runs: the first leader may still read the request.
            val gateway = gateway()
            val lost = RecordingLeaderClient()
            gateway.leaderClient.value = lost
            launch {
                lost.awaitRequest().invoke(null)
                gateway.leaderClient.value =
                    ReplyingLeaderClient(JobReply.NotRun(1_000, "the state store is unavailable"))
            }
            expectThat(gateway.submit()).isA<JobReply.Uncertain>()
        }

    @Test
    fun `without a reply by the deadline the outcome is uncertain`() =
        runTest {
            val gateway = gateway()
            gateway.leaderClient.value = RecordingLeaderClient()
            expectThat(gateway.submit()).isA<JobReply.Uncertain>()
            expectThat(testScheduler.currentTime).isEqualTo(3_000)
        }

    @Test
    fun `a request that finds the queue of the connection full is sent when it has room`() =
        runTest {
            // Guards against an entry that takes its leader for lost, and finds no other.
            val gateway = gateway()
            val busy = BusyLeaderClient(refusals = 3)
            gateway.leaderClient.value = busy
            expectThat(gateway.submit()).isEqualTo(JobReply.Accepted)
            expectThat(gateway.leaderClient.value).isEqualTo(busy)
        }

    @Test
    fun `a request that can't be sent is refused as not run after half a second`() =
        runTest {
            val gateway = gateway()
            gateway.leaderClient.value = BusyLeaderClient(refusals = Int.MAX_VALUE)
            expectThat(gateway.submit()).isA<JobReply.NotRun>()
            expectThat(testScheduler.currentTime).isEqualTo(500)
        }

    /** Client whose queue is full for the first requests. */
    private class BusyLeaderClient(
        private var refusals: Int,
    ) : LeaderClient {
        override fun execute(
            request: JobRequest,
            reply: (JobReply?) -> Unit,
        ): Boolean {
            refusals -= 1
            if (refusals < 0) reply(JobReply.Accepted)
            return refusals < 0
        }
    }

    private class RecordingLeaderClient : LeaderClient {
        private val received = CompletableDeferred<(JobReply?) -> Unit>()

        override fun execute(
            request: JobRequest,
            reply: (JobReply?) -> Unit,
        ): Boolean = received.complete(reply)

        suspend fun awaitRequest(): (JobReply?) -> Unit = received.await()
    }

    private class ReplyingLeaderClient(
        private val response: JobReply,
    ) : LeaderClient {
        override fun execute(
            request: JobRequest,
            reply: (JobReply?) -> Unit,
        ): Boolean {
            reply(response)
            return true
        }
    }
}
