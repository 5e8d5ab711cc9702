/*
 * Moves runs away from hosts that have become slow: a run that has taken far longer than estimated there is stopped,
 * so that it resumes or starts anew elsewhere, once for each task.
 */
package org.greengagepass.core.process.jobs

/** Finds runs to move in [state]. */
internal class SlowRuns(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Learns from all runs that go on, and stops those that are better off elsewhere. */
    fun move(moment: Moment) {
        state.hosts.all().filter { it.isResponsive(moment.now) }.forEach { host ->
            learnFromOpenRuns(host, moment)
            if (host.speed.isSlow(moment.now)) moveFrom(host, moment)
        }
    }

    /** One late run may have a bad estimate, so only several of them say something of their host. */
    private fun learnFromOpenRuns(
        host: Host,
        moment: Moment,
    ) {
        val late = host.runs.values.filter { isOverdue(it, moment) }
        if (late.size < LATE_RUNS_MINIMUM) return
        late.forEach { held ->
            val elapsed = moment.now.millisSince(held.placedAt)
            host.speed.learn(elapsed, held.entry.step.estimatedMillis, hasEnded = false, moment.now)
        }
    }

    private fun moveFrom(
        host: Host,
        moment: Moment,
    ) {
        host.runs.values.filter { isOverdue(it, moment) }.forEach { held ->
            held.entry.wasMoved = true
            transitions.stop(host, held, StopReason.SLOW_HOST, moment)
        }
    }

    private fun isOverdue(
        held: HeldRun,
        moment: Moment,
    ): Boolean =
        held.isMeasurable &&
            !held.entry.wasMoved &&
            held.stopRequestedAt == null &&
            moment.now.millisSince(held.placedAt) > held.entry.step.estimatedMillis * OVERDUE + OVERDUE_MILLIS

    private companion object {
        /** Beyond the error of an estimate. */
        private const val OVERDUE = 2.5

        private const val LATE_RUNS_MINIMUM = 3

        /** Stopping and starting again takes about this long. */
        private const val OVERDUE_MILLIS = 400L
    }
}
