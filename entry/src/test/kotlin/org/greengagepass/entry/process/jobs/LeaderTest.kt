package org.greengagepass.entry.process.jobs

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.JobConfiguration
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.JobTable
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.core.process.jobs.SchedulerSettings
import org.greengagepass.core.process.jobs.StepSpecification
import org.greengagepass.core.process.jobs.TaskState
import org.greengagepass.protocol.connection.JobRequest
import org.greengagepass.services.process.Leadership
import org.greengagepass.services.process.StoreFailure
import org.greengagepass.services.process.runRestarting
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

/** A leader that loses the store, is replaced, or meets an unexpected error; in simulated time. */
class LeaderTest {
    private val store = FakeStateStore()
    private val scheduler = JobScheduler(SETTINGS, JobTable(), Timestamp(0))
    private var newestEpoch = Epoch.NONE
    private var configurationError: IllegalStateException? = null

    private fun TestScope.leader(): Leader {
        val clock = { Moment(Timestamp(currentTime), currentTime) }
        val confirmation = Confirmation(SETTINGS.leadershipMillis).apply { confirm(clock()) }
        val context =
            LeaderContext(
                scope = backgroundScope,
                store = store,
                clock = clock,
                configuration = { configurationError?.let { throw it } ?: JobConfiguration() },
                decisions = DecisionLog(SimpleMeterRegistry()),
                newestEpoch = { newestEpoch },
            )
        val writer = StateWriter(store, EPOCH, 1, clock, confirmation)
        return Leader(Leadership(EPOCH, "self", "self:1"), scheduler, writer, confirmation, context)
    }

    @Test
    fun `a leader ends as soon as its process knows of a later one`() =
        runTest {
            // Guards against refusing callers for as long as the store turns away a leader that was replaced.
            val leader = leader()
            val leading = launch { leader.run() }
            newestEpoch = EPOCH.next()
            delay(100)
            expectThat(leader.isActive).isFalse()
            leading.join()
        }

    @Test
    fun `a leader without the store gives up no work of a host`() =
        runTest {
            // Guards against releasing runs by the times of leases that a later leader extends.
            val leader = leader()
            val leading = launch { leader.run() }
            scheduler.hosts.connected(HOST, Moment(Timestamp(currentTime), currentTime))
            scheduler.hosts.reportReceived(
                HostReport(HOST.incarnation, 1, 0, emptyList(), emptyList()),
                mayExtendLease = true,
                Moment(Timestamp(currentTime), currentTime),
            )
            leader.execute(JobRequest.Submit(JOB, QUEUE, SPECIFICATION)) {}
            delay(200)
            repeat(APPENDS_WITHOUT_STORE) { store.failures += StoreFailure.NoAnswer("no response") }
            delay(20_000)
            val task =
                scheduler.state.jobs[JOB]
                    ?.tasks
                    ?.single()
            expectThat(task?.state).isEqualTo(TaskState.Placed(HOST.incarnation))
            leader.end()
            leading.join()
        }

    @Test
    fun `a leader without the store does not say that a job is unknown`() =
        runTest {
            // Guards against "unknown" for a job that a later leader has accepted.
            val leader = leader()
            val replies = ArrayList<JobReply>()
            leader.execute(JobRequest.Find(JOB)) { replies += it }
            delay(SETTINGS.leadershipMillis + 1)
            leader.execute(JobRequest.Find(JOB)) { replies += it }
            expectThat(replies[0]).isEqualTo(JobReply.Unknown)
            expectThat(replies[1]).isA<JobReply.Uncertain>()
        }

    @Test
    fun `a cancel of an unknown job is answered once the store has confirmed the leadership since`() =
        runTest {
            // Guards against "unknown" by a leader that was suspended and replaced: the job runs on at its successor.
            val leader = leader()
            val leading = launch { leader.run() }
            delay(100)
            val replies = ArrayList<JobReply>()
            leader.execute(JobRequest.Cancel(JOB)) { replies += it }
            expectThat(replies.size).isEqualTo(0)
            delay(200)
            expectThat(replies).isEqualTo(arrayListOf(JobReply.Unknown))
            store.failures += StoreFailure.Fenced("fenced")
            leader.execute(JobRequest.Cancel(JOB)) { replies += it }
            delay(200)
            expectThat(leader.isActive).isFalse()
            expectThat(replies.size).isEqualTo(1)
            leading.join()
        }

    @Test
    fun `an unexpected error ends the leadership and not only its decisions`() =
        runTest {
            // Guards against a process that answers as leader and decides nothing.
            val leader = leader()
            configurationError = IllegalStateException("unexpected")
            val errors = ArrayList<Throwable>()
            var runs = 0
            runRestarting({ errors += it }) {
                runs += 1
                if (runs == 1) leader.run()
            }
            expectThat(errors.size).isEqualTo(1)
            expectThat(runs).isEqualTo(2)
            expectThat(leader.isActive).isFalse()
        }

    @Test
    fun `a leader that hands over leads until it is replaced`() =
        runTest {
            // Guards against seconds without a leader while the other entries are being started again.
            val leader = leader()
            val leading = launch { leader.run() }
            leader.isHandingOver = true
            delay(3_000)
            expectThat(leader.isActive).isTrue()
            store.failures += StoreFailure.Fenced("fenced")
            delay(1_000)
            expectThat(leader.isActive).isFalse()
            leading.join()
        }

    private companion object {
        private val EPOCH = Epoch(3)
        private val JOB = JobId("0123456789abcdef")
        private val SETTINGS = SchedulerSettings(leaseMillis = 5_000, leadershipMillis = 3_000, retentionMillis = 1_000)
        private val QUEUE = QueueDefinition(QueueName("queue"), ServiceName("pool"))
        private val SPECIFICATION = JobSpecification("", listOf(StepSpecification(1, Resources(100, 100))))
        private val HOST =
            HostDescription(
                incarnation = HostIncarnation(HostId("host"), ExecutorName("executor"), 1),
                pool = ServiceName("pool"),
                failureDomain = FailureDomainName("north"),
                rack = RackName("rack"),
                labels = emptyList(),
                capacity = Resources(16_000, 64_000),
            )

        /** More than the leader tries in the time that the test covers. */
        private const val APPENDS_WITHOUT_STORE = 1_000
    }
}
