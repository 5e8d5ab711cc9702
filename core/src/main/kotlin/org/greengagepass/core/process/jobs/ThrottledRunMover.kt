/*
 * Moves runs that are throttled to protect serving tasks on the same host to hosts that can run them at full speed.
 * For a run that saves a checkpoint when it stops, a move costs only a restart, whereas a run at a tenth of its speed
 * delays its job.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Moves throttled runs of [state]. */
internal class ThrottledRunMover(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val scoring = HostScoring(state)

    /** Stops each throttled run that another host can run at full speed. */
    fun move(moment: Moment) {
        val throttled =
            state.hosts.all().flatMap { host ->
                host.runs.values
                    .filter { isThrottled(it, moment.now) }
                    .map { host to it }
            }
        if (throttled.isEmpty()) return
        val candidates = scoring.candidates(moment)
        throttled.forEach { (host, placed) -> moveOne(host, placed, candidates.filter { it.host !== host }, moment) }
    }

    /** Reserves the capacity at once, so that the same capacity is not the reason to move a second run. */
    private fun moveOne(
        host: Host,
        placed: PlacedRun,
        candidates: List<HostCandidate>,
        moment: Moment,
    ) {
        val job = state.jobs[placed.run.task.job] ?: return
        val poolCandidates = candidates.filter { it.host.description.pool == state.queueOf(job).pool }
        val siblings = job.tasksOf(placed.run.task.occurrence, placed.run.task.step)
        val candidate = scoring.best(placed.task, siblings, poolCandidates, moment.now) ?: return
        scoring.addTask(placed.task, candidate)
        placed.task.interferenceMoves += 1
        transitions.stop(host, placed, StopReason.CROWDED, moment)
    }

    private fun isThrottled(
        placed: PlacedRun,
        now: Timestamp,
    ): Boolean {
        if (placed.speedPercent > THROTTLED_PERCENT || placed.stopRequestedAt != null) {
            placed.throttledSince = null
            return false
        }
        val since = placed.throttledSince ?: now.also { placed.throttledSince = it }
        return isMovable(placed.task.step) &&
            !placed.task.crashHistory.isSuspect &&
            placed.task.interferenceMoves < MOVES_MAXIMUM &&
            now.millisSince(since) >= THROTTLED_MILLIS
    }

    /** Excludes members of a gang, since stopping one of them ends the others too. */
    private fun isMovable(step: StepSpecification): Boolean =
        step.isCheckpointing && step.coordination == StepCoordination.INDEPENDENT

    private companion object {
        /** Below half of its speed a run ends sooner on another host even if it has to be moved once more. */
        private const val THROTTLED_PERCENT = 50

        /** Covers two measurements, since the first throttle is often reverted. */
        private const val THROTTLED_MILLIS = 1_000L

        /** Limits the moves of a task that is throttled on every host. */
        private const val MOVES_MAXIMUM = 4
    }
}
