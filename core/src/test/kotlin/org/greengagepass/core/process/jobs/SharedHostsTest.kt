package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isNotEqualTo

/** Tests how best-effort tasks and serving tasks share hosts. */
class SharedHostsTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val harness = SchedulerHarness()

    @Test
    fun `a host counts as having free capacity while its tasks use less than they request`() {
        // Guards against work that waits while cores are idle, since such tasks request half as much again as they use.
        harness.connect(description(first), 0)
        harness.submit("batch", specification(bestEffortStep().copy(taskCount = 4)), 0)
        val runs = harness.starts(10).map { it.command.run }
        for (millis in 400L..4_000L step 400L) {
            harness.report(first, millis, running = runs.map { running(it, measurement = 670) })
            harness.effects(millis + 10)
        }
        harness.submit("more", specification(bestEffortStep().copy(taskCount = 4)), 4_000)
        expectThat(harness.starts(4_020).size).isEqualTo(4)
    }

    @Test
    fun `a host counts as full when all its tasks receive too little processor time`() {
        harness.connect(description(first), 0)
        harness.submit("batch", specification(bestEffortStep().copy(taskCount = 8)), 0)
        val runs = harness.starts(10).map { it.command.run }
        for (millis in 400L..4_000L step 400L) {
            harness.report(first, millis, running = runs.map { running(it, measurement = 300) })
            harness.effects(millis + 10)
        }
        harness.submit("more", specification(bestEffortStep()), 4_000)
        expectThat(harness.starts(4_020)).isEmpty()
    }

    @Test
    fun `a throttled run that saves checkpoints moves to a host where it can run at full speed`() {
        // Guards against jobs that wait for a run at a twentieth of its speed while other hosts are idle.
        val runs = startBeside(bestEffortStep().copy(isCheckpointing = true))
        harness.connect(description(second), 100)
        val stops = observe(runs, latency = 60) { harness.report(second, it) }
        expectThat(stops.map { it.run to it.reason }.distinct())
            .isEqualTo(listOf(runs.getValue("batch") to StopReason.CROWDED))
        harness.report(second, 5_000)
        val end = RunEnd(1, runs.getValue("batch"), RunOutcome.STOPPED, "saved")
        harness.report(first, 5_000, listOf(running(runs.getValue("service"), 19)), listOf(end))
        val again = harness.starts(5_010).single()
        expectThat(again.host).isEqualTo(second)
        expectThat(again.command.checkpoint).isEqualTo("saved")
    }

    @Test
    fun `a throttled run is not moved without a better host`() {
        val runs = startBeside(bestEffortStep().copy(isCheckpointing = true))
        expectThat(observe(runs, latency = 60) {}).isEmpty()
    }

    @Test
    fun `a throttled run is not moved to a host on which tasks fail`() {
        val runs = startBeside(bestEffortStep().copy(isCheckpointing = true))
        harness.connect(description(second), 100)
        harness.scheduler.state.hosts[second]
            ?.avoidUntil(Timestamp(60_000))
        expectThat(observe(runs, latency = 60) { harness.report(second, it) }).isEmpty()
    }

    @Test
    fun `a throttled run without checkpoints is not moved`() {
        val runs = startBeside(bestEffortStep())
        harness.connect(description(second), 100)
        expectThat(observe(runs, latency = 60) { harness.report(second, it) }).isEmpty()
    }

    @Test
    fun `a throttled member of a gang is not moved`() {
        // Guards against ending the work of a whole gang to speed up one of its members.
        val member = bestEffortStep().copy(isCheckpointing = true, coordination = StepCoordination.GANG)
        val runs = startBeside(member)
        harness.connect(description(second), 100)
        expectThat(observe(runs, latency = 60) { harness.report(second, it) }).isEmpty()
    }

    @Test
    fun `a new leader accelerates runs that its predecessor has throttled`() {
        // Guards against runs that stay throttled for ever because the new leader assumes that they run at full speed.
        val runs = startBeside(bestEffortStep())
        val next = harness.successor(startedAt = 1_000)
        val throttled = running(runs.getValue("batch")).copy(workPercent = 5)
        val statuses = listOf(running(runs.getValue("service"), 4), throttled)
        next.scheduler.hosts.connected(description(first), moment(1_100))
        next.report(first, 1_100, statuses)
        val throttles = next.effects(1_110).filterIsInstance<SchedulerEffect.Throttle>()
        expectThat(throttles.map { it.run }).isEqualTo(listOf(runs.getValue("batch")))
        expectThat(throttles.single().percent).isGreaterThan(5)
    }

    @Test
    fun `the next leader keeps the estimates`() {
        // Guards against learning strongly interfering pairs anew, at the cost of callers, after each change of leader.
        val runs = startBeside(bestEffortStep())
        observe(runs, latency = 60) {}
        harness.submit("more", specification(step()), 5_000)
        harness.effects(5_010)
        val next = harness.successor(startedAt = 6_000)
        expectThat(effectOf(next)).isNotEqualTo(effectOf(SchedulerHarness()))
        expectThat(effectOf(next)).isEqualTo(effectOf(harness), TOLERANCE)
    }

    @Test
    fun `estimates that can't be decoded are learnt anew`() {
        val damaged = SchedulerHarness(storedRecords = listOf(StateRecord("estimates", byteArrayOf(1, 2, 3))))
        expectThat(effectOf(damaged)).isEqualTo(effectOf(SchedulerHarness()))
    }

    private fun effectOf(scheduler: SchedulerHarness): Double {
        scheduler.connect(description(second), 0)
        val host = checkNotNull(scheduler.scheduler.state.hosts[second])
        return scheduler.scheduler.state.interference
            .effect(host, "best-effort", milliCores = 4_000, "service")
    }

    @Test
    fun `a task may run beside a service at its latency setpoint if it slows only another service`() {
        // Guards against excluding a host because of one service's latency and the largest effect on another service.
        harness.connect(description(first), 0)
        harness.submit("busy", specification(servingStep("busy")), 0)
        harness.submit("sensitive", specification(servingStep("sensitive")), 0)
        harness.submit("batch", specification(bestEffortStep()), 0)
        val runs = started(10)
        for (millis in 400L..20_000L step 400L) {
            val isAtWork = millis % 800L == 0L
            val statuses =
                listOf(
                    running(runs.getValue("busy"), 14),
                    running(runs.getValue("sensitive"), if (isAtWork) 12 else 4),
                    running(runs.getValue("batch"), if (isAtWork) 2_000 else 0),
                )
            harness.report(first, millis, statuses)
            harness.effects(millis + 10)
        }
        val statuses =
            listOf(
                running(runs.getValue("busy"), 14),
                running(runs.getValue("sensitive"), 4),
                running(runs.getValue("batch"), 2_000),
            )
        harness.report(first, 20_400, statuses)
        harness.submit("more", specification(bestEffortStep()), 20_400)
        expectThat(started(20_410).keys).isEqualTo(setOf("more"))
    }

    private fun startBeside(bestEffort: StepSpecification): Map<String, TaskRun> {
        harness.connect(description(first), 0)
        harness.submit("service", specification(servingStep()), 0)
        harness.submit("batch", specification(bestEffort), 0)
        return started(10)
    }

    private fun started(millis: Long): Map<String, TaskRun> =
        harness.starts(millis).map { it.command.run }.associateBy { it.task.job.value }

    /** Reports both of [runs] for some seconds and returns the stop commands issued meanwhile. */
    private fun observe(
        runs: Map<String, TaskRun>,
        latency: Int,
        alsoAt: (Long) -> Unit,
    ): List<SchedulerEffect.Stop> =
        (400L..4_800L step 400L).flatMap { millis ->
            val statuses = listOf(running(runs.getValue("service"), latency), running(runs.getValue("batch")))
            harness.report(first, millis, statuses)
            alsoAt(millis)
            harness.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
        }

    private companion object {
        /** Stored estimates have the precision of a [Float]. */
        private const val TOLERANCE = 1e-4
    }
}
