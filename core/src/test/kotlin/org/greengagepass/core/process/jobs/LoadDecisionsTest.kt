package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty

/** Tests decisions under load: the order of jobs, throttling, and hosts that are slow, stalled or failing. */
class LoadDecisionsTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val harness = SchedulerHarness()
    private val bestEffort = bestEffortStep().copy(estimatedMillis = 2_000)

    @Test
    fun `a job that can no longer meet its objective does not delay the next one`() {
        harness.connect(description(first, capacity = step().demand), 0)
        harness.submit("late", specification(step()), 0)
        harness.submit("fresh", specification(step()), 9_000)
        harness.report(first, 9_000)
        expectThat(harness.starts(9_010).map { it.command.run.task.job }).isEqualTo(listOf(JobId("fresh")))
    }

    @Test
    fun `a queue of higher priority comes first even when its job is late`() {
        harness.connect(description(first, capacity = step().demand), 0)
        harness.submit("urgent", specification(step()), 0, queue(priority = 0))
        harness.submit("batch", specification(step()), 9_000, queue(priority = 2))
        harness.report(first, 9_000)
        expectThat(harness.starts(9_010).map { it.command.run.task.job }).isEqualTo(listOf(JobId("urgent")))
    }

    @Test
    fun `best-effort tasks are throttled while a serving task exceeds its objective and accelerated afterwards`() {
        harness.connect(description(first), 0)
        harness.submit("service", specification(servingStep()), 0)
        harness.submit("batch", specification(bestEffort), 0)
        val runs = harness.starts(10).associate { it.command.run.task.job.value to it.command.run }
        var millis = 100L
        val throttled = observe(runs, latency = 60, from = millis).also { millis += OBSERVED_MILLIS }
        expectThat(throttled).isNotEmpty()
        expectThat(throttled.last().percent).isLessThan(60)
        val accelerated = observe(runs, latency = 4, from = millis)
        expectThat(accelerated.last().percent).isGreaterThan(throttled.last().percent)
    }

    @Test
    fun `no best-effort task is placed beside a serving task near its latency objective`() {
        val run = harness.startOn(description(first), servingStep(), job = "service")
        harness.report(first, 400, running = listOf(running(run, measurement = 19)))
        harness.submit("batch", specification(bestEffort), 400)
        expectThat(harness.starts(410)).isEmpty()
        harness.report(first, 800, running = listOf(running(run, measurement = 5)))
        expectThat(harness.starts(810).map { it.command.run.task.job }).isEqualTo(listOf(JobId("batch")))
    }

    @Test
    fun `a job that would slow serving tasks on every host still progresses, one task at a time`() {
        // Guards against a job that never runs because serving tasks are always near their latency objective.
        val run = harness.startOn(description(first), servingStep(), job = "service")
        harness.submit("batch", specification(bestEffort.copy(taskCount = 4)), 400)
        val started = ArrayList<Long>()
        for (millis in 400L..4_000L step 400L) {
            harness.report(first, millis, running = listOf(running(run, measurement = 19)))
            harness.starts(millis + 10).forEach { _ -> started += millis }
        }
        expectThat(started).hasSize(1)
        expectThat(started.single()).isLessThan(2_400)
    }

    @Test
    fun `spare processor time is estimated from its use, not from reservations`() {
        val reserved = servingStep(milliCores = 16_000)
        harness.connect(description(first), 0)
        harness.submit("service", specification(reserved), 0)
        val run = harness.startedRun(10)
        harness.report(first, 400, running = listOf(running(run, measurement = 3)))
        harness.submit("batch", specification(bestEffort.copy(taskCount = 4)), 400)
        expectThat(harness.starts(410).size).isGreaterThan(1)
    }

    @Test
    fun `several overdue runs are moved off their host`() {
        harness.connect(description(first), 0)
        harness.submit("job", specification(step(taskCount = 4)), 0)
        val runs = harness.starts(10).map { it.command.run }
        val stops = ArrayList<SchedulerEffect.Stop>()
        var millis = 400L
        while (millis < 8_000) {
            harness.report(first, millis, running = runs.map { running(it) })
            stops += harness.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
            millis += 400
        }
        expectThat(stops.filter { it.reason == StopReason.SLOW_HOST }.map { it.run }.toSet()).isEqualTo(runs.toSet())
    }

    @Test
    fun `a stalled run resumes from its checkpoint on another host`() {
        val run = harness.startOn(description(first), step())
        var stops = emptyList<SchedulerEffect>()
        for (millis in 400L..2_400L step 400L) {
            harness.report(first, millis, running = listOf(running(run, measurement = 0)))
            stops = stops + harness.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
        }
        expectThat(stops).filterIsInstance<SchedulerEffect.Stop>().isNotEmpty()
        harness.connect(description(second), 2_500)
        harness.report(first, 2_500, ends = listOf(RunEnd(1, run, RunOutcome.STOPPED, "saved")))
        val again = harness.starts(2_510).single()
        expectThat(again.host).isEqualTo(second)
        expectThat(again.command.checkpoint).isEqualTo("saved")
    }

    @Test
    fun `a run is not taken for stalled while its host does not report`() {
        // Guards against stopping work on a host that is only slow to report, after one measurement of a new run.
        val run = harness.startOn(description(first), step())
        harness.report(first, 400, running = listOf(running(run, measurement = 0)))
        val stops = ArrayList<SchedulerEffect.Stop>()
        for (millis in 410L..4_000L step 40L) {
            stops += harness.effects(millis).filterIsInstance<SchedulerEffect.Stop>()
        }
        harness.report(first, 4_010, running = listOf(running(run, measurement = 0)))
        stops += harness.effects(4_020).filterIsInstance<SchedulerEffect.Stop>()
        expectThat(stops).isEmpty()
    }

    @Test
    fun `a host on which tasks fail is paused`() {
        harness.connect(description(first), 0)
        harness.submit("job", specification(step(taskCount = 2)), 0)
        val runs = harness.starts(10).map { it.command.run }
        harness.report(
            first,
            100,
            ends =
                runs.mapIndexed {
                    index,
                    run,
                    ->
                    RunEnd(index + 1L, run, RunOutcome.FAILED, "")
                },
        )
        expectThat(harness.starts(110)).isEmpty()
        harness.report(first, 1_700)
        expectThat(harness.starts(1_710)).isNotEmpty()
    }

    /** Reports both runs for [OBSERVED_MILLIS] and returns the throttle commands issued meanwhile. */
    private fun observe(
        runs: Map<String, TaskRun>,
        latency: Int,
        from: Long,
    ): List<SchedulerEffect.Throttle> {
        val throttles = ArrayList<SchedulerEffect.Throttle>()
        for (millis in from until from + OBSERVED_MILLIS step 400) {
            val statuses = listOf(running(runs.getValue("service"), latency), running(runs.getValue("batch"), 1_000))
            harness.report(first, millis, running = statuses)
            throttles += harness.effects(millis + 10).filterIsInstance<SchedulerEffect.Throttle>()
        }
        return throttles
    }

    private companion object {
        private const val OBSERVED_MILLIS = 4_000L
    }
}
