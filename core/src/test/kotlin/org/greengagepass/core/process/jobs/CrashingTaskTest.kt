package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import kotlin.random.Random

class CrashingTaskTest {
    private val hosts = List(6) { incarnation("host-$it") }
    private val harness = SchedulerHarness()

    @Test
    fun `a task that crashes its executors is not started three times after three crashes`() {
        repeat(HISTORIES) { number ->
            val simulation = CrashSimulation(Random(SEED + number), CrashFaults(deadlyShare = 0.1)).run(RUN_MILLIS)
            expectThat(simulation.startsOfDeadlyTasks.values).isNotEmpty().all { isLessThanOrEqualTo(STARTS_MAXIMUM) }
            expectThat(simulation.violations).isEmpty()
        }
    }

    @Test
    fun `the crashes of a task are not forgotten when leaders are replaced`() {
        repeat(HISTORIES) { number ->
            val faults = CrashFaults(deadlyShare = 0.1, leaderChangeEveryMillis = 1_500)
            val simulation = CrashSimulation(Random(SEED + number), faults).run(RUN_MILLIS)
            expectThat(simulation.startsOfDeadlyTasks.values).isNotEmpty().all { isLessThanOrEqualTo(STARTS_MAXIMUM) }
            expectThat(simulation.violations).isEmpty()
        }
    }

    @Test
    fun `a task that crashes its executors after a while is given up too`() {
        repeat(HISTORIES) { number ->
            val faults = CrashFaults(deadlyShare = 0.1, crashAfterMillis = 1_500)
            val simulation = CrashSimulation(Random(SEED + number), faults).run(RUN_MILLIS)
            expectThat(simulation.startsOfDeadlyTasks.values).isNotEmpty().all { isLessThanOrEqualTo(STARTS_MAXIMUM) }
            expectThat(simulation.givenUpInnocents).isEmpty()
        }
    }

    @Test
    fun `executors that stay down for longer than their lease do not hide the crashes of a task`() {
        repeat(HISTORIES) { number ->
            val faults = CrashFaults(deadlyShare = 0.1, downMillis = 8_000)
            val simulation = CrashSimulation(Random(SEED + number), faults).run(RUN_MILLIS)
            expectThat(simulation.startsOfDeadlyTasks.values).isNotEmpty().all { isLessThanOrEqualTo(STARTS_MAXIMUM) }
            expectThat(simulation.violations).isEmpty()
        }
    }

    @Test
    fun `no job is given up for racks and hosts that go down for other causes`() {
        repeat(HISTORIES) { number ->
            val faults = CrashFaults(rackOutageEveryMillis = 10_000, hostOutageEveryMillis = 10_000)
            val simulation = CrashSimulation(Random(SEED + number), faults).run(RUN_MILLIS)
            expectThat(simulation.crashes).isGreaterThan(0)
            expectThat(simulation.violations).isEmpty()
        }
    }

    @Test
    fun `among tasks that started together the second crash gives up the one that causes it`() {
        harness.connect(description(hosts.first()), 0)
        harness.submit("deadly", specification(step()), 0)
        harness.submit("innocent", specification(step()), 0)
        val runs = harness.starts(10).associate { it.command.run.task.job to (it.host to it.command.run) }
        val (host, deadly) = runs.getValue(JobId("deadly"))
        val innocent = runs.getValue(JobId("innocent")).second
        hosts.drop(1).forEach { harness.connect(description(it), 20) }
        crash(host, at = 30, deadly to 10, innocent to 10)
        val retries = harness.starts(3_040)
        expectThat(retries.map { it.host }.toSet().size).isEqualTo(2)
        val retry = retries.single { it.command.run.task.job == JobId("deadly") }
        crash(retry.host, at = 3_060, retry.command.run to 3_050)
        expectThat(harness.starts(6_080)).isEmpty()
        expectThat(harness.visibleStatus("deadly")).isEqualTo(JobStatus.FAILED)
        expectThat(harness.visibleStatus("innocent")).isEqualTo(JobStatus.IN_PROGRESS)
    }

    /** Replaces [incarnation], which crashed with [runs], each with the time of its start. */
    private fun crash(
        incarnation: HostIncarnation,
        at: Long,
        vararg runs: Pair<TaskRun, Long>,
    ) {
        val crash = ExecutorCrash(incarnation, at, moment(at).epochMillis, runs.map { RunAtCrash(it.first, it.second) })
        val next = incarnation(incarnation.host.value, incarnation.startedAtEpochMillis + 1)
        hosts.filter { it != incarnation }.forEach { harness.report(it, at + 3_000) }
        harness.connect(description(next).copy(crashes = listOf(crash)), at + 3_000)
    }

    private companion object {
        private const val SEED = 20_261_204
        private const val HISTORIES = 40
        private const val RUN_MILLIS = 60_000L

        /** The users' rule: after three crashes a task is not started three times more. */
        private const val STARTS_MAXIMUM = 5
    }
}
