package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Refusals of starts whose command was issued more than once, so that another copy may still be carried out. */
class RefusedStartTest {
    private val first = incarnation("first")
    private val second = incarnation("second")
    private val harness = SchedulerHarness()

    @Test
    fun `a task is not placed elsewhere while a repeated start command may still take effect`() {
        // Guards against two runs: the refusal answers the first command, and the second is carried out after it.
        val run = harness.startOn(description(first), step())
        harness.scheduler.hosts.disconnected(first)
        harness.connect(description(first), 100)
        expectThat(harness.startedRun(110)).isEqualTo(run)
        harness.connect(description(second), 110)
        refuse(run, StartOutcome.NO_ROOM, 120)
        val effects = harness.effects(130)
        expectThat(effects.filterIsInstance<SchedulerEffect.Start>()).isEmpty()
        expectThat(effects.filterIsInstance<SchedulerEffect.Stop>().map { it.host to it.run })
            .isEqualTo(listOf(first to run))
    }

    @Test
    fun `a task is placed again once the stop after a refusal has ruled out its starts`() {
        val run = harness.startOn(description(first), step())
        harness.scheduler.hosts.disconnected(first)
        harness.connect(description(first), 100)
        harness.starts(110)
        refuse(run, StartOutcome.LATE, 120)
        harness.effects(130)
        harness.scheduler.hosts.stopAnswered(StopResult(first, run, pollNumber = 2))
        harness.report(first, 140)
        expectThat(harness.starts(150).map { it.command.run.number }).isEqualTo(listOf(2))
    }

    @Test
    fun `a new leader does not take the refusal of a command of its predecessor for one of its own`() {
        val run = harness.startOn(description(first), step())
        val next = harness.successor(startedAt = 1_000)
        next.connect(description(first), 1_100)
        next.connect(description(second), 1_100)
        expectThat(next.startedRun(1_110)).isEqualTo(run)
        next.scheduler.hosts.startAnswered(
            StartResult(first, run, StartOutcome.UNAVAILABLE, pollNumber = 1),
            moment(1_120),
        )
        expectThat(next.starts(1_130)).isEmpty()
    }

    @Test
    fun `a task whose only start command was refused is placed elsewhere at once`() {
        val run = harness.startOn(description(first), step())
        harness.connect(description(second), 20)
        refuse(run, StartOutcome.NO_ROOM, 30)
        expectThat(harness.starts(40).map { it.host to it.command.run.number }).isEqualTo(listOf(second to 2))
    }

    private fun refuse(
        run: TaskRun,
        outcome: StartOutcome,
        at: Long,
    ) = harness.scheduler.hosts.startAnswered(StartResult(first, run, outcome, pollNumber = 1), moment(at))
}
