package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

class JobSchedulerTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val harness = SchedulerHarness()
    private val confirmed = HashMap<HostIncarnation, MutableList<RunStatus>>()

    @Test
    fun `a job is accepted only once it is stored`() {
        harness.submit("job", specification(step()), 0)
        expectThat(harness.scheduler.takeImmediate()).filterIsInstance<SchedulerEffect.Reply>().isEmpty()
        val batch = harness.scheduler.takeBatch()
        expectThat(batch)
            .isNotNull()
            .get { effects }
            .filterIsInstance<SchedulerEffect.Reply>()
            .hasSize(1)
        expectThat(harness.visibleStatus("job")).isEqualTo(null)
    }

    @Test
    fun `a job counts as pending until a host has started one of its tasks`() {
        // Guards against jobs that are placed on a host that does not answer, and no longer counted as waiting.
        val run = harness.startOn(description(first), step())
        expectThat(
            harness.scheduler.state.jobs
                .pendingOf(queue().name),
        ).isEqualTo(1)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.QUEUED)
        harness.confirm(first, run, 20)
        harness.effects(30)
        expectThat(
            harness.scheduler.state.jobs
                .pendingOf(queue().name),
        ).isEqualTo(0)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.IN_PROGRESS)
    }

    @Test
    fun `a job is not pending once a host lists one of its tasks, or its end`() {
        val run = harness.startOn(description(first), step(taskCount = 1))
        harness.report(first, 500, running = listOf(running(run)))
        harness.effects(510)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.IN_PROGRESS)
        val failed = harness.startOn(description(second), step(), job = "other")
        harness.report(second, 900, ends = listOf(RunEnd(1, failed, RunOutcome.FAILED, "")))
        harness.effects(910)
        expectThat(harness.visibleStatus("other")).isEqualTo(JobStatus.IN_PROGRESS)
    }

    @Test
    fun `a job that is submitted after its cancel does not run, under this leader or the next`() {
        // Guards against a submission that an entry or a client repeats while its cancel is answered as unknown.
        harness.connect(description(first), 0)
        harness.scheduler.callers.cancel(1, JobId("job"), moment(10))
        expectThat(harness.scheduler.takeImmediate()).filterIsInstance<SchedulerEffect.Reply>().isEmpty()
        expectThat(harness.effects(20)).contains(SchedulerEffect.Reply(1, JobReply.Unknown))
        listOf(harness, harness.successor(startedAt = 30)).forEach { leader ->
            leader.connect(description(first), 40)
            leader.submit("job", specification(step()), 50)
            val effects = leader.effects(60)
            expectThat(effects).filterIsInstance<SchedulerEffect.Start>().isEmpty()
            expectThat(effects.filterIsInstance<SchedulerEffect.Reply>().single().reply).isA<JobReply.NotRun>()
            expectThat(leader.visibleStatus("job")).isEqualTo(null)
        }
    }

    @Test
    fun `a job may be submitted again once its early cancel is no longer retained`() {
        harness.connect(description(first), 0)
        harness.scheduler.callers.cancel(1, JobId("job"), moment(10))
        harness.effects(20)
        val later = 20 + SETTINGS.retentionMillis
        harness.effects(later)
        expectThat(harness.stored.keys.filter { "job" in it }).isEmpty()
        harness.report(first, later + 1)
        harness.submit("job", specification(step()), later + 2)
        expectThat(harness.starts(later + 3)).hasSize(1)
    }

    @Test
    fun `a step starts only when the steps it depends on are done`() {
        harness.connect(description(first), 0)
        harness.submit("job", specification(step(), step(dependsOn = listOf(0))), 0)
        val run = harness.startedRun(10)
        expectThat(run.task.step).isEqualTo(0)
        harness.report(first, 500, running = listOf(running(run)))
        expectThat(harness.starts(510)).isEmpty()
        harness.report(first, 900, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(harness.starts(910).map { it.command.run.task.step }).isEqualTo(listOf(1))
    }

    @Test
    fun `an end is acknowledged only with the change that stores it`() {
        val run = harness.startOn(description(first), step())
        harness.report(first, 900, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(harness.scheduler.takeImmediate()).filterIsInstance<SchedulerEffect.AcknowledgeEnds>().isEmpty()
        val batch = harness.scheduler.takeBatch()
        expectThat(batch)
            .isNotNull()
            .get { effects }
            .filterIsInstance<SchedulerEffect.AcknowledgeEnds>()
            .hasSize(1)
        expectThat(batch).isNotNull().get { change.records.size }.isEqualTo(1)
    }

    @Test
    fun `a host that has many starts to confirm gets no more until it has`() {
        // Guards against an agent whose heap is filled by the commands of one large job.
        harness.connect(description(first, capacity = Resources(16_000, 1_000_000)), 0)
        harness.submit("job", specification(step(taskCount = 700, milliCores = 10)), 0)
        val begun = harness.starts(10).map { it.command.run }
        expectThat(begun).hasSize(512)
        expectThat(harness.starts(20)).isEmpty()
        harness.report(first, 30, running = begun.map { running(it) })
        expectThat(harness.starts(40)).hasSize(188)
    }

    @Test
    fun `a task that uses no processor time on several hosts in turn is left to run`() {
        // Guards against tasks that wait for input and are stopped and begun again without end.
        val hosts = listOf(first, second, incarnation("third"), incarnation("fourth"))
        hosts.forEach { harness.connect(description(it), 0) }
        harness.submit("job", specification(step()), 0)
        var now = 10L
        var stops = 0
        var current = harness.starts(now).single()
        repeat(STALL_REPORTS) {
            now += REPORT_MILLIS
            hosts.filter { it != current.host }.forEach { harness.report(it, now) }
            harness.report(current.host, now, running = listOf(running(current.command.run, measurement = 0)))
            val effects = harness.effects(now)
            if (effects.any { it is SchedulerEffect.Stop }) {
                stops += 1
                val end = RunEnd(1, current.command.run, RunOutcome.STOPPED, "")
                harness.report(current.host, now + 1, ends = listOf(end))
                current = harness.starts(now + 2).single()
            }
        }
        expectThat(stops).isEqualTo(2)
    }

    @Test
    fun `a large job that is spread over hosts is placed within the silence that replaces a leader`() {
        // Guards against leaders that are replaced one after the other while they place one job.
        val hosts = List(10) { incarnation("host-$it") }
        hosts.forEach { harness.connect(description(it, capacity = Resources(100_000, 10_000_000)), 0) }
        val constraints = StepConstraints(tasksPerHostMaximum = 1_000)
        harness.submit("job", specification(step(taskCount = 10_000, milliCores = 10, constraints = constraints)), 0)
        var begun = 0
        var now = 10L
        while (begun < 10_000) {
            val before = System.nanoTime()
            val starts = harness.starts(now)
            expectThat((System.nanoTime() - before) / NANOS_PER_MILLI).isLessThan(SILENCE_MILLIS)
            begun += starts.size
            starts.groupBy { it.host }.forEach { (host, placed) ->
                confirmed.getOrPut(host) { ArrayList() } += placed.map { running(it.command.run) }
            }
            now += REPORT_MILLIS
            hosts.forEach { harness.report(it, now, running = confirmed[it].orEmpty()) }
        }
        expectThat(confirmed.values.map { it.size }.distinct()).isEqualTo(listOf(1_000))
    }

    @Test
    fun `a disconnected host keeps its tasks until its lease has certainly expired`() {
        val run = harness.startOn(description(first), step())
        harness.report(first, 400, running = listOf(running(run)))
        harness.scheduler.hosts.disconnected(first)
        harness.connect(description(second), 500)
        val expiry = 400 + SETTINGS.leaseBoundMillis
        harness.report(second, expiry - 20)
        expectThat(harness.starts(expiry - 10)).isEmpty()
        val restarted = harness.starts(expiry + 10).single()
        expectThat(restarted.host).isEqualTo(second)
        expectThat(restarted.command.run.number).isEqualTo(2)
    }

    @Test
    fun `a new leader waits for leases that its predecessor may have granted`() {
        harness.connect(description(first), 0)
        harness.submit("job", specification(step()), 0)
        harness.starts(10)
        val next = harness.successor(startedAt = 1_000)
        next.connect(description(second), 1_100)
        val bound = 1_000 + SETTINGS.takeoverBoundMillis
        next.report(second, bound - 20)
        expectThat(next.starts(bound - 10)).isEmpty()
        expectThat(next.starts(bound + 10).map { it.host }).isEqualTo(listOf(second))
    }

    @Test
    fun `a host that restarts under another executor name releases its tasks at once`() {
        // Guards against waiting for the lease of an executor that a power loss has ended.
        harness.connect(description(first), 0)
        harness.submit("job", specification(step()), 0)
        harness.starts(10)
        val next = harness.successor(startedAt = 1_000)
        val restarted = incarnation("first", number = 2)
        next.connect(description(restarted), 1_100)
        expectThat(next.starts(1_110).map { it.host to it.command.run.number }).isEqualTo(listOf(restarted to 2))
    }

    @Test
    fun `a run of an executor that has restarted under its name is placed elsewhere at once`() {
        // Guards against waiting for the later incarnation, which no command for the earlier one reaches.
        val run = harness.startOn(description(first), step())
        harness.connect(description(second), 20)
        val restarted = first.copy(startedAtEpochMillis = first.startedAtEpochMillis + 1)
        harness.scheduler.hosts.connected(description(restarted), moment(100))
        val again = harness.starts(110).single()
        expectThat(again.host to again.command.run.number).isEqualTo(second to 2)
        harness.scheduler.hosts.startAnswered(StartResult(first, run, StartOutcome.STARTED, 1), moment(120))
        harness.report(restarted, 200)
        harness.report(second, 200, running = listOf(running(again.command.run)))
        expectThat(harness.effects(210).filter { it is SchedulerEffect.Start || it is SchedulerEffect.Stop }).isEmpty()
        harness.report(second, 900, ends = listOf(RunEnd(1, again.command.run, RunOutcome.DONE, "")))
        harness.effects(910)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.COMPLETED)
    }

    @Test
    fun `a start after a restart under the same name has the next number`() {
        harness.startOn(description(first), step())
        val restarted = first.copy(startedAtEpochMillis = first.startedAtEpochMillis + 1)
        harness.connect(description(restarted), 100)
        val again = harness.starts(110).single()
        expectThat(again.host to again.command.run.number).isEqualTo(restarted to 2)
    }

    @Test
    fun `a run that a new leader finds running is not started again`() {
        val run = harness.startOn(description(first), step())
        val next = harness.successor(startedAt = 1_000)
        next.scheduler.hosts.connected(description(first), moment(1_100))
        next.report(first, 1_100, running = listOf(running(run)))
        expectThat(next.effects(1_110)).filterIsInstance<SchedulerEffect.Start>().isEmpty()
    }

    @Test
    fun `a run whose start command is lost is started again under the same number`() {
        val run = harness.startOn(description(first), step())
        harness.scheduler.hosts.disconnected(first)
        harness.connect(description(first), 300)
        expectThat(harness.starts(310).map { it.command.run }).isEqualTo(listOf(run))
    }

    @Test
    fun `a superseded start is released only when a later poll lists no end of the run`() {
        // Guards against a second run of a task whose first run has ended but whose end has not arrived yet.
        val run = harness.startOn(description(first), step())
        harness.scheduler.hosts.startAnswered(
            StartResult(first, run, StartOutcome.SUPERSEDED, pollNumber = 2),
            moment(50),
        )
        harness.report(first, 100)
        expectThat(harness.starts(110)).isEmpty()
        harness.report(first, 200, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        harness.effects(210)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.COMPLETED)
    }

    @Test
    fun `a task that has used all its attempts fails its job`() {
        harness.connect(description(first), 0)
        harness.connect(description(second), 0)
        harness.submit("job", specification(step(taskCount = 1)), 0)
        val one = harness.starts(10).single()
        harness.report(one.host, 100, ends = listOf(RunEnd(1, one.command.run, RunOutcome.FAILED, "")))
        val two = harness.starts(110).single()
        expectThat(two.host).isNotEqualTo(one.host)
        harness.report(two.host, 200, ends = listOf(RunEnd(1, two.command.run, RunOutcome.FAILED, "")))
        expectThat(harness.starts(210)).isEmpty()
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.FAILED)
    }

    @Test
    fun `a run that ends without failure does not count as an attempt`() {
        harness.connect(description(first), 0)
        harness.submit("job", specification(step()), 0)
        for (number in 1..3) {
            val run = harness.startedRun(number * 100L)
            val end = RunEnd(number.toLong(), run, RunOutcome.LAPSED, "")
            harness.report(first, number * 100L + 50, ends = listOf(end))
        }
        expectThat(harness.starts(1_000)).hasSize(1)
    }

    @Test
    fun `tasks of a cancelled job are stopped and keep their capacity until they have ended`() {
        val small = description(first, capacity = step().demand)
        harness.connect(small, 0)
        harness.submit("job", specification(step()), 0)
        val run = harness.startedRun(10)
        harness.scheduler.callers.cancel(2, JobId("job"), moment(20))
        expectThat(harness.effects(30)).filterIsInstance<SchedulerEffect.Stop>().hasSize(1)
        harness.submit("next", specification(step()), 30)
        harness.report(first, 40, running = listOf(running(run)))
        expectThat(harness.starts(50)).isEmpty()
        harness.report(first, 60, ends = listOf(RunEnd(1, run, RunOutcome.STOPPED, "")))
        expectThat(harness.starts(70).map { it.command.run.task.job }).isEqualTo(listOf(JobId("next")))
    }

    @Test
    fun `no task starts in a failure domain that is out of service`() {
        harness.connect(description(first, failureDomain = "out"), 0)
        harness.connect(description(second, failureDomain = "in"), 0)
        val out = setOf(FailureDomainName("out"))
        harness.scheduler.configure(JobConfiguration(version = 1, failureDomainsOut = out))
        harness.submit("job", specification(step(taskCount = 4)), 0)
        expectThat(harness.starts(10).map { it.host }.toSet()).containsExactlyInAnyOrder(second)
    }

    @Test
    fun `no task is placed on a host that stopped reporting although it is still connected`() {
        harness.connect(description(first), 0)
        harness.connect(description(second), 0)
        harness.report(second, 2_000)
        harness.submit("job", specification(step(taskCount = 4)), 2_000)
        expectThat(harness.starts(2_010).map { it.host }.toSet()).containsExactlyInAnyOrder(second)
    }

    @Test
    fun `the members of a gang start together or not at all`() {
        val small = description(first, capacity = step().demand)
        harness.connect(small, 0)
        harness.submit("gang", specification(step(taskCount = 2, coordination = StepCoordination.GANG)), 0)
        expectThat(harness.starts(10)).isEmpty()
        harness.connect(description(second), 20)
        val starts = harness.starts(30)
        expectThat(starts).hasSize(2)
        expectThat(starts.map { it.command.run.number }.toSet()).hasSize(1)
    }

    @Test
    fun `a standing task is restarted whenever it ends`() {
        harness.connect(description(first), 0)
        harness.submit("watch", specification(step().copy(lifetime = StepLifetime.STANDING)), 0)
        val run = harness.startedRun(10)
        harness.report(first, 100, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(harness.starts(110).map { it.command.run.number }).isEqualTo(listOf(2))
    }

    @Test
    fun `a host runs at most the permitted number of tasks of a step`() {
        harness.connect(description(first), 0)
        harness.connect(description(second), 0)
        val spread = step(taskCount = 5, constraints = StepConstraints(tasksPerHostMaximum = 2))
        harness.submit("job", specification(spread), 0)
        expectThat(harness.starts(10).groupBy { it.host }.mapValues { it.value.size })
            .isEqualTo(mapOf(first to 2, second to 2))
    }

    private companion object {
        private const val REPORT_MILLIS = 400L
        private const val STALL_REPORTS = 40
        private const val NANOS_PER_MILLI = 1_000_000L

        /** A leader from which nothing is heard for this long is replaced. */
        private const val SILENCE_MILLIS = 1_200L
    }
}
