/*
 * Logs why tasks that could run have had no run for long: for how many hosts of their pool which reason applies.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Why a host does not take a task. */
private enum class Obstacle(
    val description: String,
) {
    UNAVAILABLE("unavailable"),
    PAUSED("paused"),
    AVOIDED("avoided"),
    SET_ASIDE("set aside"),
    FULL("full"),
    UNSUITABLE("unsuitable"),
}

/** Logs the longest of [waits]. */
internal class WaitLog(
    private val state: SchedulerState,
    private val waits: PlacementWaits,
    private val constraints: HostConstraints,
) {
    private var dueAt = Timestamp(0)

    /** Logs tasks that wait although [candidates] are the hosts on which tasks may be placed at [moment]. */
    fun write(
        candidates: List<HostCandidate>,
        moment: Moment,
    ) {
        if (moment.now < dueAt) return
        val longest = waits.atLeast(LONG_MILLIS).take(LINES_MAXIMUM)
        if (longest.isEmpty()) return
        dueAt = moment.now.plusMillis(INTERVAL_MILLIS)
        val byHost = candidates.associateBy { it.host }
        longest.forEach { wait ->
            val key = wait.task.key
            val detail = "for ${moment.now.millisSince(wait.since)} ms; hosts: ${obstacles(wait.task, byHost, moment)}"
            state.effects.logDecision(Decision("waiting", key.job, wait.task.run, detail = detail))
        }
    }

    private fun obstacles(
        task: JobTask,
        candidates: Map<Host, HostCandidate>,
        moment: Moment,
    ): String {
        val pool = state.jobs[task.key.job]?.let { state.queueOf(it).pool }
        val counts =
            state.hosts
                .all()
                .filter { it.description.pool == pool }
                .groupingBy { obstacle(task, it, candidates[it], moment) }
                .eachCount()
        return Obstacle.entries.joinToString { "${counts[it] ?: 0} ${it.description}" }
    }

    private fun obstacle(
        task: JobTask,
        host: Host,
        candidate: HostCandidate?,
        moment: Moment,
    ): Obstacle =
        when {
            candidate == null && !state.isAvailable(host, moment) -> Obstacle.UNAVAILABLE
            candidate == null -> if (state.mayTryOn(host, moment)) Obstacle.AVOIDED else Obstacle.PAUSED
            !candidate.fits(task.step) -> Obstacle.FULL
            !constraints.isFeasible(task, candidate, isStarved = true) -> Obstacle.UNSUITABLE
            !state.trials.allow(task, host) -> Obstacle.SET_ASIDE
            // What is left are the limits for best-effort tasks, which isStarved leaves out.
            else -> Obstacle.UNSUITABLE
        }

    private companion object {
        /** The users allow a task that could run to wait for 3 s. */
        private const val LONG_MILLIS = 3_000L
        private const val INTERVAL_MILLIS = 1_000L

        /** Bounds the log while a long queue waits for capacity. */
        private const val LINES_MAXIMUM = 5
    }
}
