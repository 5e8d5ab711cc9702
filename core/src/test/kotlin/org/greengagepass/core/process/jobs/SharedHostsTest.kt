package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan

/** What tasks that use spare processor time get beside serving tasks, and what they do to them. */
class SharedHostsTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val bench = SchedulerBench()

    @Test
    fun `tasks that use less than they ask for do not make their host look full`() {
        // Guards against work that waits beside idle cores, since its kind asks for half as much again as it uses.
        bench.connect(description(first), 0)
        bench.submit("batch", specification(fillingStep().copy(taskCount = 4)), 0)
        val runs = bench.starts(10).map { it.command.run }
        for (millis in 400L..4_000L step 400L) {
            bench.report(first, millis, running = runs.map { running(it, measurement = 670) })
            bench.effects(millis + 10)
        }
        bench.submit("more", specification(fillingStep().copy(taskCount = 4)), 4_000)
        expectThat(bench.starts(4_020).size).isEqualTo(4)
    }

    @Test
    fun `tasks that all get too little make their host look full`() {
        bench.connect(description(first), 0)
        bench.submit("batch", specification(fillingStep().copy(taskCount = 8)), 0)
        val runs = bench.starts(10).map { it.command.run }
        for (millis in 400L..4_000L step 400L) {
            bench.report(first, millis, running = runs.map { running(it, measurement = 300) })
            bench.effects(millis + 10)
        }
        bench.submit("more", specification(fillingStep()), 4_000)
        expectThat(bench.starts(4_020)).isEmpty()
    }

    @Test
    fun `a slowed run whose work is saved moves to a host on which it disturbs nobody`() {
        // Guards against jobs that wait for a run at a twentieth of its speed while other hosts are idle.
        val runs = startBeside(fillingStep().copy(isCheckpointing = true))
        bench.connect(description(second), 100)
        val stops = observe(runs, latency = 60) { bench.report(second, it) }
        expectThat(stops.map { it.run to it.reason }.distinct())
            .isEqualTo(listOf(runs.getValue("batch") to StopReason.CROWDED))
        bench.report(second, 5_000)
        val end = RunEnd(1, runs.getValue("batch"), RunOutcome.STOPPED, "saved")
        bench.report(first, 5_000, listOf(running(runs.getValue("service"), 19)), listOf(end))
        val again = bench.starts(5_010).single()
        expectThat(again.host).isEqualTo(second)
        expectThat(again.command.checkpoint).isEqualTo("saved")
    }

    @Test
    fun `a slowed run stays where it is without a better host`() {
        val runs = startBeside(fillingStep().copy(isCheckpointing = true))
        expectThat(observe(runs, latency = 60) {}).isEmpty()
    }

    @Test
    fun `a slowed run that would have to begin anew stays where it is`() {
        val runs = startBeside(fillingStep())
        bench.connect(description(second), 100)
        expectThat(observe(runs, latency = 60) { bench.report(second, it) }).isEmpty()
    }

    @Test
    fun `a slowed member of a gang stays where it is`() {
        // Guards against ending the work of a whole gang to speed up one of its members.
        val member = fillingStep().copy(isCheckpointing = true, coordination = StepCoordination.GANG)
        val runs = startBeside(member)
        bench.connect(description(second), 100)
        expectThat(observe(runs, latency = 60) { bench.report(second, it) }).isEmpty()
    }

    @Test
    fun `a new leader speeds up the runs that the one before has slowed`() {
        // Guards against runs that stay slowed for ever because the new leader takes them to be at full speed.
        val runs = startBeside(fillingStep())
        val next = bench.successor(startedAt = 1_000)
        val slowed = running(runs.getValue("batch")).copy(workPercent = 5)
        val rows = listOf(running(runs.getValue("service"), 4), slowed)
        next.scheduler.hosts.connected(description(first), moment(1_100))
        next.report(first, 1_100, rows)
        val paces = next.effects(1_110).filterIsInstance<SchedulerEffect.Throttle>()
        expectThat(paces.map { it.run }).isEqualTo(listOf(runs.getValue("batch")))
        expectThat(paces.single().percent).isGreaterThan(5)
    }

    @Test
    fun `a task may join a service at its bound if it disturbs only another one that has room`() {
        // Guards against judging a host by its worst service and its worst pair when the two have nothing in common.
        bench.connect(description(first), 0)
        bench.submit("busy", specification(servingStep("busy")), 0)
        bench.submit("sensitive", specification(servingStep("sensitive")), 0)
        bench.submit("batch", specification(fillingStep()), 0)
        val runs = started(10)
        for (millis in 400L..20_000L step 400L) {
            val isAtWork = millis % 800L == 0L
            val rows =
                listOf(
                    running(runs.getValue("busy"), 14),
                    running(runs.getValue("sensitive"), if (isAtWork) 12 else 4),
                    running(runs.getValue("batch"), if (isAtWork) 2_000 else 0),
                )
            bench.report(first, millis, rows)
            bench.effects(millis + 10)
        }
        val rows =
            listOf(
                running(runs.getValue("busy"), 14),
                running(runs.getValue("sensitive"), 4),
                running(runs.getValue("batch"), 2_000),
            )
        bench.report(first, 20_400, rows)
        bench.submit("more", specification(fillingStep()), 20_400)
        expectThat(started(20_410).keys).isEqualTo(setOf("more"))
    }

    private fun startBeside(filling: StepSpecification): Map<String, TaskRun> {
        bench.connect(description(first), 0)
        bench.submit("service", specification(servingStep()), 0)
        bench.submit("batch", specification(filling), 0)
        return started(10)
    }

    private fun started(millis: Long): Map<String, TaskRun> =
        bench.starts(millis).map { it.command.run }.associateBy { it.task.job.value }

    /** Reports both runs of [runs] for some seconds and gives the stops that were ordered meanwhile. */
    private fun observe(
        runs: Map<String, TaskRun>,
        latency: Int,
        alsoAt: (Long) -> Unit,
    ): List<SchedulerEffect.Stop> =
        (400L..4_800L step 400L).flatMap { millis ->
            val rows = listOf(running(runs.getValue("service"), latency), running(runs.getValue("batch")))
            bench.report(first, millis, rows)
            alsoAt(millis)
            bench.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
        }
}
