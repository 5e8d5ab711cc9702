package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.doesNotContain
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEmpty
import strikt.assertions.isNotEqualTo
import kotlin.random.Random

class CrashingTaskTest {
    private val hosts = List(6) { incarnation("host-$it") }
    private val harness = SchedulerHarness()

    @Test
    fun `a task that crashes its executors is not started three times after three crashes`() {
        expectFewStarts(CrashFaults(crashingShare = 0.1)) { expectThat(it.violations).isEmpty() }
    }

    @Test
    fun `the crashes of a task are not forgotten when leaders are replaced`() {
        val faults = CrashFaults(crashingShare = 0.1, leaderChangeEveryMillis = 1_500)
        expectFewStarts(faults) { expectThat(it.violations).isEmpty() }
    }

    @Test
    fun `a task that crashes its executors after a while is given up too`() {
        val faults = CrashFaults(crashingShare = 0.1, crashAfterMillis = 1_500)
        expectFewStarts(faults) { expectThat(it.givenUpInnocents).isEmpty() }
    }

    @Test
    fun `executors that stay down for longer than their lease do not hide the crashes of a task`() {
        val faults = CrashFaults(crashingShare = 0.1, downMillis = 8_000)
        expectFewStarts(faults) { expectThat(it.violations).isEmpty() }
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
        harness.submit("crashing", specification(step()), 0)
        harness.submit("innocent", specification(step()), 0)
        val runs = harness.starts(10).associate { it.command.run.task.job to (it.host to it.command.run) }
        val (host, crashing) = runs.getValue(JobId("crashing"))
        val (innocentHost, innocent) = runs.getValue(JobId("innocent"))
        harness.confirm(innocentHost, innocent, 15)
        hosts.drop(1).forEach { harness.connect(description(it), 20) }
        crash(host, at = 30, crashing to 10, innocent to 10)
        val retries = harness.starts(3_040)
        expectThat(retries.map { it.host }.toSet().size).isEqualTo(2)
        val retry = retries.single { it.command.run.task.job == JobId("crashing") }
        crash(retry.host, at = 3_060, retry.command.run to 3_050)
        expectThat(harness.starts(6_080)).isEmpty()
        expectThat(harness.visibleStatus("crashing")).isEqualTo(JobStatus.FAILED)
        expectThat(harness.visibleStatus("innocent")).isEqualTo(JobStatus.IN_PROGRESS)
    }

    @Test
    fun `a crash that is reported to several leaders counts once`() {
        // Guards against giving up a task for one crash because agents repeat their reports.
        val run = harness.startOn(description(hosts[0]), step())
        harness.confirm(hosts[0], run, 15)
        val crashed = crashOf(hosts[0], at = 30, run to 10)
        val replaced = description(incarnation("host-0", number = 2)).copy(crashes = listOf(crashed))
        harness.connect(replaced, 3_000)
        harness.effects(3_010)
        var leader = harness
        repeat(3) { number ->
            leader = leader.successor(startedAt = 3_100L + number)
            leader.connect(replaced, 3_200L + number)
            leader.effects(3_300L + number)
        }
        expectThat(leader.visibleStatus("job")).isEqualTo(JobStatus.IN_PROGRESS)
    }

    @Test
    fun `each crash under a task counts although its executor keeps its name`() {
        // Guards against starts without end: a crash under a run number that was counted before is not counted again.
        val kept = hosts[0].executor
        val first = harness.startOn(description(hosts[0]), step())
        harness.connect(description(hosts[1]), 20)
        harness.scheduler.hosts.silent(hosts[1], moment(30))
        val second = hosts[0].copy(startedAtEpochMillis = 2)
        harness.connect(description(second).copy(crashes = listOf(crashOf(hosts[0], at = 30, first to 10))), 100)
        val again = harness.startedRun(110)
        val third = hosts[0].copy(startedAtEpochMillis = 3)
        harness.connect(description(third).copy(crashes = listOf(crashOf(second, at = 130, again to 110))), 200)
        val task =
            harness.scheduler.state.jobs[JobId("job")]
                ?.task(first.task)
        expectThat(listOf(second.executor, third.executor)).all { isEqualTo(kept) }
        expectThat(task?.crashHistory?.losses).isEqualTo(2)
    }

    @Test
    fun `a task is not given up for executors that were only silent`() {
        // Guards against taking a host that does not answer, or whose lease expired, for one that has crashed.
        harness.connect(description(hosts[0]), 0)
        harness.connect(description(hosts[1]), 0)
        harness.submit("job", specification(step()), 0)
        var now = 10L
        repeat(6) {
            val start = harness.starts(now).single()
            harness.scheduler.hosts.silent(start.host, moment(now + 20))
            now += SETTINGS.leaseBoundMillis + 10_000
            harness.effects(now)
            now += 6_000
            hosts.take(2).forEach { harness.report(it, now + 10) }
            now += 20
        }
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.QUEUED)
    }

    @Test
    fun `a report of a crash with runs that do not exist changes nothing`() {
        // Guards against a malformed report that hides later crashes of a task, or blames it for runs it never had.
        val run = harness.startOn(description(hosts[0]), step())
        val runs =
            listOf(run.copy(number = Int.MAX_VALUE), run.copy(number = -1), run.copy(task = run.task.copy(index = 9)))
        val crash = crashOf(hosts[0], at = 30, *runs.map { it to Long.MAX_VALUE }.toTypedArray())
        harness.scheduler.hosts.descriptionChanged(description(hosts[0]).copy(crashes = listOf(crash)), moment(40))
        harness.connect(description(hosts[1]).copy(crashes = List(9) { crash }), 50)
        harness.report(hosts[0], 60, running = listOf(running(run)))
        harness.effects(70)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.IN_PROGRESS)
        expectThat(
            harness.scheduler.state.jobs[JobId("job")]
                ?.task(run.task)
                ?.crashHistory,
        ).isEqualTo(CrashHistory())
    }

    @Test
    fun `a job is shown as failed only once that is stored, and its other runs are stopped`() {
        hosts.take(2).forEach { harness.connect(description(it), 0) }
        val spread = step(taskCount = 2, constraints = StepConstraints(tasksPerHostMaximum = 1))
        harness.submit("job", specification(spread), 0)
        val (crashing, other) = harness.starts(10).sortedBy { it.host.host.value }
        val task = crashing.command.run.task
        harness.confirm(crashing.host, crashing.command.run, 15)
        harness.effects(20)
        harness.scheduler.state.jobs[task.job]
            ?.task(task)
            ?.crashHistory = CrashHistory(suspicions = 1)
        val crash = crashOf(hosts[0], at = 30, crashing.command.run to 10)
        harness.scheduler.hosts.connected(
            description(incarnation("host-0", number = 2)).copy(crashes = listOf(crash)),
            moment(3_030),
        )
        expectThat(
            harness.scheduler.state.jobs[task.job]
                ?.outcome,
        ).isEqualTo(JobOutcome.FAILED)
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.IN_PROGRESS)
        val stops = harness.effects(3_040).filterIsInstance<SchedulerEffect.Stop>()
        expectThat(harness.visibleStatus("job")).isEqualTo(JobStatus.FAILED)
        expectThat(stops.map { it.host to it.run }).isEqualTo(listOf(other.host to other.command.run))
    }

    @Test
    fun `a task is not started a sixth time although other tasks start beside it before each crash`() {
        // Guards against a limit for starts that holds only while suspects are kept apart.
        var host = hosts[0]
        harness.connect(description(host), 0)
        harness.submit("crashing", specification(step()), 0)
        repeat(5) { number ->
            val innocent = "innocent-$number"
            val now = 10_000L * number + 1_000
            harness.submit(innocent, specification(step()), now)
            val starts = startsWithin(host, now).map { it.command.run }
            val crash = crashOf(host, at = now + 4_010, *starts.map { it to now + 4_000 }.toTypedArray())
            host = host.copy(startedAtEpochMillis = host.startedAtEpochMillis + 1)
            harness.connect(description(host).copy(crashes = listOf(crash)), now + 4_600)
            expectThat(harness.visibleStatus(innocent)).isNotEqualTo(JobStatus.FAILED)
            harness.scheduler.callers.cancel(1, JobId(innocent), moment(now + 4_700))
        }
        expectThat(startsWithin(host, 60_000).map { it.command.run.task.job.value }).doesNotContain("crashing")
        expectThat(harness.visibleStatus("crashing")).isEqualTo(JobStatus.FAILED)
    }

    /** The starts on [host] within 4 s, after which no suspect is kept apart. */
    private fun startsWithin(
        host: HostIncarnation,
        now: Long,
    ): List<SchedulerEffect.Start> =
        (now..now + 4_000 step 500).flatMap { time ->
            harness.report(host, time)
            harness.starts(time)
        }

    @Test
    fun `suspects start within the time that a task may wait although long trials hold the hosts`() {
        // Guards against tasks that never start again after crashes, with most of the capacity free.
        hosts.forEach { harness.connect(description(it), 0) }
        val recurring = CrashHistory(losses = 3, longestAgeMillis = 5_000)
        val once = CrashHistory(suspicions = 1)
        val jobs =
            List(8) { "recurring-$it" to recurring } + List(8) { "once-$it" to once } + ("sound" to CrashHistory())
        jobs.forEach { (id, history) ->
            harness.submit(id, specification(step()), 0)
            harness.scheduler.state.jobs[JobId(id)]
                ?.let { SuspectRuns(harness.scheduler.state).update(it, it.tasks.single(), history) }
        }
        val begun = HashMap<HostIncarnation, List<TaskRun>>()
        for (now in 10L..WAIT_MILLIS step 100) {
            harness.starts(now).forEach { begun.merge(it.host, listOf(it.command.run), List<TaskRun>::plus) }
            hosts.forEach { host -> harness.report(host, now + 1, running = begun[host].orEmpty().map { running(it) }) }
        }
        expectThat(begun.values.flatten().map { it.task.job.value }).containsExactlyInAnyOrder(jobs.map { it.first })
    }

    /** Runs the histories with [faults], in which no task may be started too often, and checks each by [check]. */
    private fun expectFewStarts(
        faults: CrashFaults,
        check: (CrashSimulation) -> Unit,
    ) = repeat(HISTORIES) { number ->
        val simulation = CrashSimulation(Random(SEED + number), faults).run(RUN_MILLIS)
        expectThat(simulation.startsOfCrashingTasks.values).isNotEmpty().all { isLessThanOrEqualTo(STARTS_MAXIMUM) }
        check(simulation)
    }

    private fun crashOf(
        incarnation: HostIncarnation,
        at: Long,
        vararg runs: Pair<TaskRun, Long>,
    ) = ExecutorCrash(incarnation, at, moment(at).epochMillis, runs.map { RunAtCrash(it.first, it.second) })

    /** Replaces [incarnation], which crashed with [runs], each with the time of its start. */
    private fun crash(
        incarnation: HostIncarnation,
        at: Long,
        vararg runs: Pair<TaskRun, Long>,
    ) {
        val crash = crashOf(incarnation, at, *runs)
        val next = incarnation(incarnation.host.value, incarnation.startedAtEpochMillis + 1)
        hosts.filter { it != incarnation }.forEach { harness.report(it, at + 3_000) }
        harness.connect(description(next).copy(crashes = listOf(crash)), at + 3_000)
    }

    private companion object {
        private const val SEED = 20_261_204
        private const val HISTORIES = 40
        private const val RUN_MILLIS = 60_000L

        /** The users' rule LOST: a task that could run waits for less than 3 s. */
        private const val WAIT_MILLIS = 3_000L

        /** The users' rule: after three crashes a task is not started three times more. */
        private const val STARTS_MAXIMUM = 5
    }
}
