package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ShrinkingCapacityTest {
    private val first = incarnation("first")
    private val harness = SchedulerHarness()

    @Test
    fun `starts in flight, and runs that are being stopped, count against a capacity that has shrunk`() {
        // Guards against a start on capacity that only seems free because nothing is listed there yet or any more.
        harness.connect(description(first), 0)
        harness.submit("job", specification(step(taskCount = 2, milliCores = 4_000)), 0)
        val (confirmed, inFlight) = harness.starts(10).map { it.command.run }
        started(confirmed, 20)
        resize(8_000, at = 30)
        harness.report(first, 40, running = listOf(running(confirmed)))
        harness.submit("next", specification(step(milliCores = 4_000)), 50)
        expectThat(harness.starts(60)).isEmpty()
        harness.scheduler.callers.cancel(2, JobId("job"), moment(70))
        harness.report(first, 80, running = listOf(running(confirmed), running(inFlight)))
        expectThat(harness.starts(90)).isEmpty()
        harness.report(first, 900, ends = listOf(confirmed, inFlight).mapIndexed { index, run -> stopped(index, run) })
        expectThat(harness.starts(910)).hasSize(1)
    }

    @Test
    fun `the latest start in flight is withdrawn when the capacity no longer holds it`() {
        harness.connect(description(first), 0)
        harness.submit("early", specification(step(milliCores = 6_000)), 0)
        val early = harness.startedRun(10)
        started(early, 20)
        harness.submit("late", specification(step(milliCores = 6_000)), 30)
        val late = harness.startedRun(40)
        resize(8_000, at = 50)
        val stops = harness.effects(60).filterIsInstance<SchedulerEffect.Stop>()
        expectThat(stops.map { it.run to it.reason }).isEqualTo(listOf(late to StopReason.NO_CAPACITY))
    }

    @Test
    fun `a start is not repeated on a host whose capacity has shrunk`() {
        // Guards against a start that an agent lost and that is sent again long after the capacity has shrunk.
        val run = harness.startOn(description(first), step(milliCores = 8_000))
        harness.scheduler.hosts.disconnected(first)
        harness.scheduler.hosts.connected(resized(4_000), moment(1_000))
        harness.report(first, 1_010)
        val effects = harness.effects(1_020)
        expectThat(effects.filterIsInstance<SchedulerEffect.Start>()).isEmpty()
        expectThat(effects.filterIsInstance<SchedulerEffect.Stop>().map { it.run }.distinct()).isEqualTo(listOf(run))
    }

    @Test
    fun `tasks are placed again when the capacity has grown again`() {
        harness.connect(resized(1_000), 0)
        harness.submit("job", specification(step(milliCores = 8_000)), 0)
        expectThat(harness.starts(10)).isEmpty()
        resize(16_000, at = 20)
        expectThat(harness.starts(30)).hasSize(1)
    }

    private fun resized(milliCores: Long) =
        description(first, capacity = Resources(milliCores = milliCores, memoryMegabytes = 64_000))

    private fun resize(
        milliCores: Long,
        at: Long,
    ) = harness.scheduler.hosts.descriptionChanged(resized(milliCores), moment(at))

    private fun started(
        run: TaskRun,
        at: Long,
    ) = harness.scheduler.hosts.startAnswered(StartResult(first, run, StartOutcome.STARTED, pollNumber = 1), moment(at))

    private fun stopped(
        index: Int,
        run: TaskRun,
    ) = RunEnd(index + 1L, run, RunOutcome.STOPPED, "")
}
