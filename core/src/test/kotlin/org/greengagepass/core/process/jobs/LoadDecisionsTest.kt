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

/** Loads that hosts can't or should not take, and what callers get then. */
class LoadDecisionsTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val bench = SchedulerBench()
    private val filling = fillingStep().copy(estimatedMillis = 2_000)

    @Test
    fun `a job that can't meet its objective any more does not make the next one late`() {
        bench.connect(description(first, capacity = step().demand), 0)
        bench.submit("late", specification(step()), 0)
        bench.submit("fresh", specification(step()), 9_000)
        bench.report(first, 9_000)
        expectThat(bench.starts(9_010).map { it.command.run.task.job }).isEqualTo(listOf(JobId("fresh")))
    }

    @Test
    fun `a queue of higher priority comes first even when its job is late`() {
        bench.connect(description(first, capacity = step().demand), 0)
        bench.submit("urgent", specification(step()), 0, queue(priority = 0))
        bench.submit("batch", specification(step()), 9_000, queue(priority = 2))
        bench.report(first, 9_000)
        expectThat(bench.starts(9_010).map { it.command.run.task.job }).isEqualTo(listOf(JobId("urgent")))
    }

    @Test
    fun `tasks that use spare time are slowed while a serving task is over its bound, and sped up after`() {
        bench.connect(description(first), 0)
        bench.submit("service", specification(servingStep()), 0)
        bench.submit("batch", specification(filling), 0)
        val runs = bench.starts(10).associate { it.command.run.task.job.value to it.command.run }
        var millis = 100L
        val slowed = observe(runs, latency = 60, from = millis).also { millis += OBSERVED_MILLIS }
        expectThat(slowed).isNotEmpty()
        expectThat(slowed.last().percent).isLessThan(60)
        val spedUp = observe(runs, latency = 4, from = millis)
        expectThat(spedUp.last().percent).isGreaterThan(slowed.last().percent)
    }

    @Test
    fun `no more tasks that use spare time join a serving task at its bound`() {
        val run = bench.startOn(description(first), servingStep(), job = "service")
        bench.report(first, 400, running = listOf(running(run, measurement = 19)))
        bench.submit("batch", specification(filling), 400)
        expectThat(bench.starts(410)).isEmpty()
        bench.report(first, 800, running = listOf(running(run, measurement = 5)))
        expectThat(bench.starts(810).map { it.command.run.task.job }).isEqualTo(listOf(JobId("batch")))
    }

    @Test
    fun `a job that nobody has room for still goes on, with one task at a time`() {
        // Guards against a job that never runs because serving tasks are always at their bound.
        val run = bench.startOn(description(first), servingStep(), job = "service")
        bench.submit("batch", specification(filling.copy(taskCount = 4)), 400)
        val started = ArrayList<Long>()
        for (millis in 400L..4_000L step 400L) {
            bench.report(first, millis, running = listOf(running(run, measurement = 19)))
            bench.starts(millis + 10).forEach { _ -> started += millis }
        }
        expectThat(started).hasSize(1)
        expectThat(started.single()).isLessThan(2_400)
    }

    @Test
    fun `spare time is what its users get, not what nobody reserved`() {
        val reserved = servingStep(milliCores = 16_000)
        bench.connect(description(first), 0)
        bench.submit("service", specification(reserved), 0)
        val run = bench.startedRun(10)
        bench.report(first, 400, running = listOf(running(run, measurement = 3)))
        bench.submit("batch", specification(filling.copy(taskCount = 4)), 400)
        expectThat(bench.starts(410).size).isGreaterThan(1)
    }

    @Test
    fun `one late run has a bad estimate, several are moved off a slow host`() {
        bench.connect(description(first), 0)
        bench.submit("job", specification(step(taskCount = 4)), 0)
        val runs = bench.starts(10).map { it.command.run }
        val stops = ArrayList<SchedulerEffect.Stop>()
        var millis = 400L
        while (millis < 8_000) {
            bench.report(first, millis, running = runs.map { running(it) })
            stops += bench.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
            millis += 400
        }
        expectThat(stops.filter { it.reason == StopReason.SLOW_HOST }.map { it.run }.toSet()).isEqualTo(runs.toSet())
    }

    @Test
    fun `a run that stands still goes on elsewhere`() {
        val run = bench.startOn(description(first), step())
        var stops = emptyList<SchedulerEffect>()
        for (millis in 400L..2_400L step 400L) {
            bench.report(first, millis, running = listOf(running(run, measurement = 0)))
            stops = stops + bench.effects(millis + 10).filterIsInstance<SchedulerEffect.Stop>()
        }
        expectThat(stops).filterIsInstance<SchedulerEffect.Stop>().isNotEmpty()
        bench.connect(description(second), 2_500)
        bench.report(first, 2_500, ends = listOf(RunEnd(1, run, RunOutcome.STOPPED, "saved")))
        val again = bench.starts(2_510).single()
        expectThat(again.host).isEqualTo(second)
        expectThat(again.command.checkpoint).isEqualTo("saved")
    }

    @Test
    fun `a host that fails what it starts is left alone for a while`() {
        bench.connect(description(first), 0)
        bench.submit("job", specification(step(taskCount = 2)), 0)
        val runs = bench.starts(10).map { it.command.run }
        bench.report(
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
        expectThat(bench.starts(110)).isEmpty()
        bench.report(first, 1_700)
        expectThat(bench.starts(1_710)).isNotEmpty()
    }

    /** Reports both runs for a while and gives the paces that were ordered meanwhile. */
    private fun observe(
        runs: Map<String, TaskRun>,
        latency: Int,
        from: Long,
    ): List<SchedulerEffect.Throttle> {
        val paces = ArrayList<SchedulerEffect.Throttle>()
        for (millis in from until from + OBSERVED_MILLIS step 400) {
            val rows = listOf(running(runs.getValue("service"), latency), running(runs.getValue("batch"), 1_000))
            bench.report(first, millis, running = rows)
            paces += bench.effects(millis + 10).filterIsInstance<SchedulerEffect.Throttle>()
        }
        return paces
    }

    private companion object {
        private const val OBSERVED_MILLIS = 4_000L
    }
}
