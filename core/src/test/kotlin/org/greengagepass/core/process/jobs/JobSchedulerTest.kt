package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isNotNull

class JobSchedulerTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val bench = SchedulerBench()

    @Test
    fun `a job is accepted only once it is stored`() {
        bench.submit("job", specification(step()), 0)
        expectThat(bench.scheduler.takeImmediate()).filterIsInstance<SchedulerEffect.Reply>().isEmpty()
        val batch = bench.scheduler.takeBatch()
        expectThat(batch)
            .isNotNull()
            .get { effects }
            .filterIsInstance<SchedulerEffect.Reply>()
            .hasSize(1)
        expectThat(bench.shownStatus("job")).isEqualTo(null)
    }

    @Test
    fun `a step starts only when the steps it depends on are done`() {
        bench.connect(description(first), 0)
        bench.submit("job", specification(step(), step(dependsOn = listOf(0))), 0)
        val run = bench.startedRun(10)
        expectThat(run.task.step).isEqualTo(0)
        bench.report(first, 500, running = listOf(running(run)))
        expectThat(bench.starts(510)).isEmpty()
        bench.report(first, 900, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(bench.starts(910).map { it.command.run.task.step }).isEqualTo(listOf(1))
    }

    @Test
    fun `an end is acknowledged only with the change that stores it`() {
        val run = bench.startOn(description(first), step())
        bench.report(first, 900, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(bench.scheduler.takeImmediate()).filterIsInstance<SchedulerEffect.AcknowledgeEnds>().isEmpty()
        val batch = bench.scheduler.takeBatch()
        expectThat(batch)
            .isNotNull()
            .get { effects }
            .filterIsInstance<SchedulerEffect.AcknowledgeEnds>()
            .hasSize(1)
        expectThat(batch).isNotNull().get { change.records.size }.isEqualTo(1)
    }

    @Test
    fun `a host that is cut off keeps its tasks until its lease has surely lapsed`() {
        val run = bench.startOn(description(first), step())
        bench.report(first, 400, running = listOf(running(run)))
        bench.scheduler.hosts.disconnected(first)
        bench.connect(description(second), 500)
        val lapse = 400 + SETTINGS.leaseBoundMillis
        bench.report(second, lapse - 20)
        expectThat(bench.starts(lapse - 10)).isEmpty()
        val restarted = bench.starts(lapse + 10).single()
        expectThat(restarted.host).isEqualTo(second)
        expectThat(restarted.command.run.number).isEqualTo(2)
    }

    @Test
    fun `a new leader waits for leases that its predecessor may have granted`() {
        bench.connect(description(first), 0)
        bench.submit("job", specification(step()), 0)
        bench.starts(10)
        val next = bench.successor(startedAt = 1_000)
        next.connect(description(second), 1_100)
        val bound = 1_000 + SETTINGS.takeoverBoundMillis
        next.report(second, bound - 20)
        expectThat(next.starts(bound - 10)).isEmpty()
        expectThat(next.starts(bound + 10).map { it.host }).isEqualTo(listOf(second))
    }

    @Test
    fun `a host that was reborn under another executor name frees its tasks at once`() {
        // Guards against waiting for a lease of an executor that a power loss has ended.
        bench.connect(description(first), 0)
        bench.submit("job", specification(step()), 0)
        bench.starts(10)
        val next = bench.successor(startedAt = 1_000)
        val reborn = incarnation("first", life = 2)
        next.connect(description(reborn), 1_100)
        expectThat(next.starts(1_110).map { it.host to it.command.run.number }).isEqualTo(listOf(reborn to 2))
    }

    @Test
    fun `a run that a new leader finds running is not started again`() {
        val run = bench.startOn(description(first), step())
        val next = bench.successor(startedAt = 1_000)
        next.scheduler.hosts.connected(description(first), moment(1_100))
        next.report(first, 1_100, running = listOf(running(run)))
        expectThat(next.effects(1_110)).filterIsInstance<SchedulerEffect.Start>().isEmpty()
    }

    @Test
    fun `a run whose order is lost is ordered again under its number`() {
        val run = bench.startOn(description(first), step())
        bench.scheduler.hosts.disconnected(first)
        bench.connect(description(first), 300)
        expectThat(bench.starts(310).map { it.command.run }).isEqualTo(listOf(run))
    }

    @Test
    fun `a superseded start is given up only when a later look shows no end of it`() {
        // Guards against a second run of a task whose first has ended and whose end is still on its way.
        val run = bench.startOn(description(first), step())
        bench.scheduler.hosts.startAnswered(
            StartResult(first, run, StartOutcome.SUPERSEDED, pollNumber = 2),
            moment(50),
        )
        bench.report(first, 100)
        expectThat(bench.starts(110)).isEmpty()
        bench.report(first, 200, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        bench.effects(210)
        expectThat(bench.shownStatus("job")).isEqualTo(JobStatus.COMPLETED)
    }

    @Test
    fun `a task that used up its attempts fails its job`() {
        bench.connect(description(first), 0)
        bench.connect(description(second), 0)
        bench.submit("job", specification(step(taskCount = 1)), 0)
        val one = bench.starts(10).single()
        bench.report(one.host, 100, ends = listOf(RunEnd(1, one.command.run, RunOutcome.FAILED, "")))
        val two = bench.starts(110).single()
        expectThat(two.host).isNotEqualTo(one.host)
        bench.report(two.host, 200, ends = listOf(RunEnd(1, two.command.run, RunOutcome.FAILED, "")))
        expectThat(bench.starts(210)).isEmpty()
        expectThat(bench.shownStatus("job")).isEqualTo(JobStatus.FAILED)
    }

    @Test
    fun `ends that are not failures use up no attempt`() {
        bench.connect(description(first), 0)
        bench.submit("job", specification(step()), 0)
        for (number in 1..3) {
            val run = bench.startedRun(number * 100L)
            val end = RunEnd(number.toLong(), run, RunOutcome.LAPSED, "")
            bench.report(first, number * 100L + 50, ends = listOf(end))
        }
        expectThat(bench.starts(1_000)).hasSize(1)
    }

    @Test
    fun `a cancelled job's tasks are stopped and its room stays taken until they have ended`() {
        val small = description(first, capacity = step().demand)
        bench.connect(small, 0)
        bench.submit("job", specification(step()), 0)
        val run = bench.startedRun(10)
        bench.scheduler.callers.cancel(2, JobId("job"), moment(20))
        expectThat(bench.effects(30)).filterIsInstance<SchedulerEffect.Stop>().hasSize(1)
        bench.submit("next", specification(step()), 30)
        bench.report(first, 40, running = listOf(running(run)))
        expectThat(bench.starts(50)).isEmpty()
        bench.report(first, 60, ends = listOf(RunEnd(1, run, RunOutcome.STOPPED, "")))
        expectThat(bench.starts(70).map { it.command.run.task.job }).isEqualTo(listOf(JobId("next")))
    }

    @Test
    fun `nothing starts in a failure domain that is out`() {
        bench.connect(description(first, failureDomain = "out"), 0)
        bench.connect(description(second, failureDomain = "in"), 0)
        val out = setOf(FailureDomainName("out"))
        bench.scheduler.configure(JobConfiguration(version = 1, failureDomainsOut = out))
        bench.submit("job", specification(step(taskCount = 4)), 0)
        expectThat(bench.starts(10).map { it.host }.toSet()).containsExactlyInAnyOrder(second)
    }

    @Test
    fun `a host that has fallen silent gets nothing although its connection stands`() {
        bench.connect(description(first), 0)
        bench.connect(description(second), 0)
        bench.report(second, 2_000)
        bench.submit("job", specification(step(taskCount = 4)), 2_000)
        expectThat(bench.starts(2_010).map { it.host }.toSet()).containsExactlyInAnyOrder(second)
    }

    @Test
    fun `the members of a gang start together or not at all`() {
        val small = description(first, capacity = step().demand)
        bench.connect(small, 0)
        bench.submit("gang", specification(step(taskCount = 2, coordination = StepCoordination.GANG)), 0)
        expectThat(bench.starts(10)).isEmpty()
        bench.connect(description(second), 20)
        val starts = bench.starts(30)
        expectThat(starts).hasSize(2)
        expectThat(starts.map { it.command.run.number }.toSet()).hasSize(1)
    }

    @Test
    fun `a standing task is restarted however it ends`() {
        bench.connect(description(first), 0)
        bench.submit("watch", specification(step().copy(lifetime = StepLifetime.STANDING)), 0)
        val run = bench.startedRun(10)
        bench.report(first, 100, ends = listOf(RunEnd(1, run, RunOutcome.DONE, "")))
        expectThat(bench.starts(110).map { it.command.run.number }).isEqualTo(listOf(2))
    }

    @Test
    fun `at most the allowed number of a step's tasks share a host`() {
        bench.connect(description(first), 0)
        bench.connect(description(second), 0)
        val spread = step(taskCount = 5, constraints = StepConstraints(tasksPerHostMaximum = 2))
        bench.submit("job", specification(spread), 0)
        expectThat(bench.starts(10).groupBy { it.host }.mapValues { it.value.size })
            .isEqualTo(mapOf(first to 2, second to 2))
    }
}
