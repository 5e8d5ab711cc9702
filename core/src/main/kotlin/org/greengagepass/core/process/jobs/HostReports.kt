/*
 * Compares what a host holds with what the scheduler expects there: runs that ended, that were not expected, and that
 * are missing.
 */
package org.greengagepass.core.process.jobs

/** Handles reports of hosts. */
internal class HostReports(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Takes what [report] says of [host]. */
    fun handle(
        host: Host,
        report: HostReport,
        moment: Moment,
    ) {
        handleEnds(host, report, moment)
        val seen = report.running.mapTo(HashSet()) { it.run }
        report.running.forEach { handleRunning(host, it, moment) }
        state.interference.learn(host, moment.now)
        host.spare.learn(host.description.capacity.milliCores, host.runs.values, moment.now)
        host.runs.values
            .filter { it.run !in seen }
            .forEach { handleUnlisted(host, it, report, moment) }
    }

    private fun handleEnds(
        host: Host,
        report: HostReport,
        moment: Moment,
    ) {
        val fresh = report.ends.filter { it.number > host.processedEnds }
        fresh.forEach { transitions.ended(host, it, moment) }
        val through = report.ends.lastOrNull()?.number ?: return
        host.processedEnds = maxOf(host.processedEnds, through)
        state.outbox.afterStore(SchedulerEffect.AcknowledgeEnds(host.incarnation, through))
    }

    private fun handleRunning(
        host: Host,
        task: RunStatus,
        moment: Moment,
    ) {
        val held = host.runs[task.run.task]
        if (held == null || held.run != task.run) {
            stopUnexpected(host, task.run, moment)
        } else {
            if (held.lastStatus == null) adoptPace(held, task)
            held.isConfirmed = true
            held.lastStatus = task
            if (isStopDue(held, moment)) transitions.stop(host, held, held.stopReason ?: StopReason.JOB_ENDED, moment)
        }
    }

    /** A run that this leader did not start may have been slowed by the one before. */
    private fun adoptPace(
        held: HeldRun,
        task: RunStatus,
    ) {
        // No run is slowed to nothing, so that 0 is one that has not begun to work.
        if (!held.usesSpareProcessor || held.isOrdered || task.workPercent <= 0) return
        held.speedPercent = task.workPercent.coerceAtMost(HeldRun.FULL_SPEED_PERCENT)
    }

    /** A run of a job that has ended is stopped, and stopped again while it is still listed. */
    private fun isStopDue(
        held: HeldRun,
        moment: Moment,
    ): Boolean {
        val requestedAt = held.stopRequestedAt
        return if (requestedAt == null) {
            state.jobs[held.run.task.job]?.outcome != JobOutcome.ACTIVE
        } else {
            moment.now.millisSince(requestedAt) > STOP_REPEAT_MILLIS
        }
    }

    private fun stopUnexpected(
        host: Host,
        run: TaskRun,
        moment: Moment,
    ) {
        host.pauseUntil(moment.now.plusMillis(UNEXPECTED_PAUSE_MILLIS))
        state.outbox.afterStore(SchedulerEffect.Stop(host.incarnation, run, StopReason.NOT_EXPECTED))
        state.outbox.note(Decision("unexpected", run.task.job, run, host.incarnation))
    }

    private fun handleUnlisted(
        host: Host,
        held: HeldRun,
        report: HostReport,
        moment: Moment,
    ) {
        val isSettled = report.listsAllEnds && report.pollNumber > held.settledAfterPoll
        val job = state.jobs[held.run.task.job]
        when {
            isSettled && held.isRuledOut -> transitions.release(host, held, "not there")
            held.isOrdered && !isSettled -> Unit
            job == null || job.outcome != JobOutcome.ACTIVE || host.description.isDraining ->
                transitions.stop(host, held, StopReason.JOB_ENDED, moment)
            else -> {
                held.settledAfterPoll = Long.MAX_VALUE
                transitions.order(job, host, held)
            }
        }
    }

    private companion object {
        /** Time until a host with a run that is not expected there gets new tasks; the next report comes sooner. */
        private const val UNEXPECTED_PAUSE_MILLIS = 500L

        /** Time after which a run that is still listed is stopped again. */
        private const val STOP_REPEAT_MILLIS = 500L
    }
}
