/*
 * Moves runs that are slowed for the sake of the serving tasks beside them to hosts on which they disturb nobody. A run
 * whose work is saved when it stops loses nothing but a restart, whereas one at a tenth of its speed holds up its job.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Finds runs to move in [state]. */
internal class CrowdedRuns(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val scoring = HostScoring(state)

    /** Stops the runs for which another host has room at full speed. */
    fun move(moment: Moment) {
        val crowded =
            state.hosts.all().flatMap { host ->
                host.runs.values
                    .filter { isCrowded(it, moment.now) }
                    .map { host to it }
            }
        if (crowded.isEmpty()) return
        val rooms = scoring.rooms(moment)
        crowded.forEach { (host, held) -> moveOne(host, held, rooms.filter { it.host !== host }, moment) }
    }

    /** Takes the room at once, so that one room moves one run. */
    private fun moveOne(
        host: Host,
        held: HeldRun,
        rooms: List<HostRoom>,
        moment: Moment,
    ) {
        val job = state.jobs[held.run.task.job] ?: return
        val pool = rooms.filter { it.host.description.pool == state.queueOf(job).pool }
        val siblings = job.tasksOf(held.run.task.occurrence, held.run.task.step)
        val room = scoring.best(held.entry, siblings, pool, moment.now) ?: return
        scoring.take(held.entry.step, room)
        held.entry.movesFromCrowds += 1
        transitions.stop(host, held, StopReason.CROWDED, moment)
    }

    private fun isCrowded(
        held: HeldRun,
        now: Timestamp,
    ): Boolean {
        if (held.speedPercent > CROWDED_PERCENT || held.stopRequestedAt != null) {
            held.crowdedSince = null
            return false
        }
        val since = held.crowdedSince ?: now.also { held.crowdedSince = it }
        return isMovable(held.entry.step) &&
            held.entry.movesFromCrowds < MOVES_MAXIMUM &&
            now.millisSince(since) >= CROWDED_MILLIS
    }

    /** A member of a gang that is stopped ends the others too. */
    private fun isMovable(step: StepSpecification): Boolean =
        step.isCheckpointing && step.coordination == StepCoordination.INDEPENDENT

    private companion object {
        /** Below half of its speed a run ends sooner elsewhere even if it has to be moved once more. */
        private const val CROWDED_PERCENT = 50

        /** Two measurements; the first change of a pace is often taken back. */
        private const val CROWDED_MILLIS = 1_000L

        /** A task that is crowded everywhere is not moved for ever. */
        private const val MOVES_MAXIMUM = 4
    }
}
