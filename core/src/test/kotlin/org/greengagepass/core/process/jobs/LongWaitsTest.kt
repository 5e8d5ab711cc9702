package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactlyInAnyOrder
import strikt.assertions.isEqualTo
import strikt.assertions.single

class LongWaitsTest {
    private val hosts = List(6) { incarnation("host-$it") }
    private val harness = SchedulerHarness()
    private val begun = HashMap<HostIncarnation, List<TaskRun>>()

    @Test
    fun `a task that has waited for long is logged with what keeps it from each host`() {
        // Guards against waits whose cause the log does not show.
        harness.connect(description(hosts[0]), 0)
        harness.connect(description(hosts[1]).copy(isDraining = true), 0)
        harness.submit("large", specification(step(milliCores = 17_000)), 0)
        expectThat(loggedWaits(0L..2_900L)).isEqualTo(emptyList())
        expectThat(loggedWaits(3_000L..3_900L)).single().get { detail }.isEqualTo(
            "for 3000 ms; hosts: 1 unavailable, 0 paused, 0 avoided, 0 set aside, 1 full, 0 unsuitable",
        )
    }

    @Test
    fun `tasks start in time on hosts that are set aside for suspects if the others are full`() {
        // Guards against tasks that have no run, with free capacity, while one suspect after another is on trial.
        hosts.take(2).forEach { harness.connect(description(it), 0) }
        harness.submit("large", specification(step(taskCount = 2, milliCores = 16_000)), 0)
        play(10L..100L, hosts.take(2))
        hosts.drop(2).forEach { harness.connect(description(it), 110) }
        val recurring = List(8) { "recurring-$it" }
        recurring.forEach { id ->
            harness.submit(id, specification(step()), 110)
            harness.scheduler.state.jobs[JobId(id)]?.let { job ->
                val history = CrashHistory(losses = 3, longestAgeMillis = 5_000)
                SuspectRuns(harness.scheduler.state).update(job, job.tasks.single(), history)
            }
        }
        play(120L..1_500L, hosts)
        val lasting = step().copy(lifetime = StepLifetime.STANDING)
        harness.submit("lasting", specification(lasting), 1_500)
        harness.submit("finite", specification(step()), 1_500)
        val gang = step(taskCount = 2, coordination = StepCoordination.GANG)
        harness.submit("gang", specification(gang), 1_500)
        play(1_510L..1_500L + WAIT_MILLIS, hosts)
        val jobs = begun.values.flatten().mapTo(HashSet()) { it.task.job.value }
        expectThat(jobs).containsExactlyInAnyOrder(recurring + listOf("large", "lasting", "finite", "gang"))
    }

    @Test
    fun `tasks start in time although tasks have failed on all hosts`() {
        // Guards against pools that start nothing while each of their hosts is avoided for up to 7.5 s.
        hosts.take(2).forEach { harness.connect(description(it), 0) }
        harness.submit("failing", specification(step(taskCount = 24)), 0, queue(attemptsMaximum = 9))
        val starts = harness.starts(10)
        hosts.take(2).forEach { host ->
            val runs = starts.filter { it.host == host }.map { it.command.run }
            val ends = runs.mapIndexed { number, run -> RunEnd(number + 1L, run, RunOutcome.FAILED, "") }
            harness.report(host, 20, ends = ends)
        }
        expectThat(harness.starts(30)).isEqualTo(emptyList())
        val lasting = step().copy(lifetime = StepLifetime.STANDING)
        harness.submit("lasting", specification(lasting), 30)
        harness.submit("finite", specification(step()), 30)
        play(40L..30L + WAIT_MILLIS, hosts.take(2))
        expectThat(begun.values.flatten().map { it.task.job.value }).contains("lasting", "finite")
    }

    /** Ticks every 100 ms in [times]; all of [responsive] report what has started on them. */
    private fun play(
        times: LongRange,
        responsive: List<HostIncarnation>,
    ) = (times step TICK_MILLIS).forEach { now ->
        harness.starts(now).forEach { begun.merge(it.host, listOf(it.command.run), List<TaskRun>::plus) }
        responsive.forEach { host ->
            harness.report(host, now + 1, running = begun[host].orEmpty().map { running(it) })
        }
    }

    private fun loggedWaits(times: LongRange): List<Decision> =
        (times step TICK_MILLIS).flatMap { now ->
            hosts.take(2).forEach { harness.report(it, now) }
            harness
                .effects(now)
                .filterIsInstance<SchedulerEffect.LogDecision>()
                .map { it.decision }
                .filter { it.name == "waiting" }
        }

    private companion object {
        const val TICK_MILLIS = 100L

        /** The users allow a task that could run to wait for 3 s. */
        const val WAIT_MILLIS = 3_000L
    }
}
