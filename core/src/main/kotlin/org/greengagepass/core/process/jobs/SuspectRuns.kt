/*
 * Runs of suspects, which are tasks that had just started when their executor crashed or fell silent.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Follows the runs of suspects. */
internal class SuspectRuns(
    private val state: SchedulerState,
) {
    /**
     * Isolates the runs of [host], whose lease has expired, that had just started when its executor fell silent. Before
     * another start, a task to which that has happened again waits for one of the executors to come back, which shows
     * whether they have crashed.
     */
    fun leaseExpired(
        host: Host,
        now: Timestamp,
    ) {
        val silentSince = host.silentSince ?: return
        host.runs.values.filter { !it.isProven && it.placedAt <= silentSince }.forEach { placed ->
            val job = state.jobs[placed.run.task.job] ?: return@forEach
            val history = placed.task.crashHistory.run { copy(unresolvedLapses = unresolvedLapses + 1) }
            update(job, placed.task, history)
            if (history.needsResolution) placed.task.heldUntil = now.plusMillis(HOLD_MILLIS)
        }
    }

    /** Clears the task of [placed] if its run has lasted long enough. */
    fun survived(
        placed: PlacedRun,
        millis: Long,
    ) {
        val before = placed.task.crashHistory
        val after = before.afterSurviving(millis)
        val job = state.jobs[placed.run.task.job]
        if (after == before || job == null) return
        update(job, placed.task, after)
        if (before.isSuspect && !after.isSuspect) {
            state.effects.logDecision(Decision("crash_cleared", job.id, placed.run, detail = "ran for $millis ms"))
        }
    }

    /** Replaces the history of [task], which belongs to [job]. */
    fun update(
        job: Job,
        task: JobTask,
        history: CrashHistory,
    ) {
        task.crashHistory = history
        if (history.isSuspect) state.suspectJobs += job.id
        state.jobs.markChanged(job)
    }

    private companion object {
        /** An executor that crashed is usually back by then. */
        private const val HOLD_MILLIS = 5_000L
    }
}
