/*
 * Moves runs off hosts that have become slow: stops each run that has taken far longer than estimated, so that its task
 * resumes or restarts on another host. A task is moved at most once.
 */
package org.greengagepass.core.process.jobs

/** Moves runs off slow hosts of [state]. */
internal class OverdueRunMover(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Updates the speed of hosts from unfinished runs, and stops overdue runs on slow hosts. */
    fun move(moment: Moment) {
        state.hosts.all().filter { it.isResponsive(moment.now) }.forEach { host ->
            updateFromUnfinishedRuns(host, moment)
            if (host.speed.isSlow(moment.now)) moveRunsFrom(host, moment)
        }
    }

    /** A single overdue run may have a bad estimate, so only several overdue runs on a host count against it. */
    private fun updateFromUnfinishedRuns(
        host: Host,
        moment: Moment,
    ) {
        val overdueRuns = host.runs.values.filter { isOverdue(it, moment) }
        if (overdueRuns.size < OVERDUE_RUNS_MINIMUM) return
        overdueRuns.forEach { placed ->
            val elapsed = moment.now.millisSince(placed.placedAt)
            host.speed.update(elapsed, placed.task.step.estimatedMillis, hasEnded = false, moment.now)
        }
    }

    private fun moveRunsFrom(
        host: Host,
        moment: Moment,
    ) {
        host.runs.values.filter { isOverdue(it, moment) }.forEach { placed ->
            placed.task.wasMoved = true
            transitions.stop(host, placed, StopReason.SLOW_HOST, moment)
        }
    }

    private fun isOverdue(
        placed: PlacedRun,
        moment: Moment,
    ): Boolean =
        placed.indicatesHostSpeed &&
            !placed.task.wasMoved &&
            placed.stopRequestedAt == null &&
            moment.now.millisSince(placed.placedAt) > placed.task.step.estimatedMillis * OVERDUE_FACTOR + OVERDUE_MILLIS

    private companion object {
        /** Larger than the error of an estimate. */
        private const val OVERDUE_FACTOR = 2.5

        private const val OVERDUE_RUNS_MINIMUM = 3

        /** Stopping a run and starting it again takes about this long. */
        private const val OVERDUE_MILLIS = 400L
    }
}
