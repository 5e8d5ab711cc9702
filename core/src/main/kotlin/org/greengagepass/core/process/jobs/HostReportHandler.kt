/*
 * Compares the runs that a host reports with the runs placed on it: finds those that ended, those that are not
 * expected and those that are missing.
 */
package org.greengagepass.core.process.jobs

/** Handles reports of hosts. */
internal class HostReportHandler(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
    private val suspectRuns: SuspectRuns,
    private val capacityGuard: CapacityGuard,
) {
    /** Updates the state of [host] and its runs from [report]. */
    fun handle(
        host: Host,
        report: HostReport,
        moment: Moment,
    ) {
        handleEnds(host, report, moment)
        val listed = report.running.mapTo(HashSet()) { it.run }
        report.running.forEach { handleRunning(host, it, moment) }
        state.interference.update(host, moment.now)
        host.spareCapacity.update(host.description.capacity.milliCores, host.runs.values, moment.now)
        host.runs.values
            .filter { it.run !in listed }
            .forEach { handleUnlisted(host, it, report, moment) }
    }

    private fun handleEnds(
        host: Host,
        report: HostReport,
        moment: Moment,
    ) {
        val newEnds = report.ends.filter { it.number > host.processedEnds }
        newEnds.forEach { transitions.ended(host, it, moment) }
        val through = report.ends.lastOrNull()?.number ?: return
        host.processedEnds = maxOf(host.processedEnds, through)
        state.effects.afterStored(SchedulerEffect.AcknowledgeEnds(host.incarnation, through))
    }

    private fun handleRunning(
        host: Host,
        status: RunStatus,
        moment: Moment,
    ) {
        state.runStarted(status.run)
        val placed = host.runs[status.run.task]
        if (placed == null || placed.run != status.run) {
            stopUnexpected(host, status.run, moment)
        } else {
            if (placed.lastStatus == null) adoptSpeed(placed, status)
            placed.isConfirmed = true
            placed.lastStatus = status
            placed.listedSince = placed.listedSince ?: moment.now
            placed.listedAt = moment.now
            suspectRuns.survived(placed, placed.listedMillis)
            if (isStopDue(placed, moment)) {
                transitions.stop(host, placed, placed.stopReason ?: StopReason.JOB_ENDED, moment)
            }
        }
    }

    /** Adopts the reported speed of a run that an earlier leader started and may have throttled. */
    private fun adoptSpeed(
        placed: PlacedRun,
        status: RunStatus,
    ) {
        // A run is never throttled to 0, so 0 means that it has not begun to work.
        if (!placed.usesSpareProcessor || placed.isCommandSent || status.workPercent <= 0) return
        placed.speedPercent = status.workPercent.coerceAtMost(PlacedRun.FULL_SPEED_PERCENT)
    }

    /** True if the run belongs to a job that has ended, or is still listed some time after the last stop command. */
    private fun isStopDue(
        placed: PlacedRun,
        moment: Moment,
    ): Boolean {
        val requestedAt = placed.stopRequestedAt
        return if (requestedAt == null) {
            state.jobs[placed.run.task.job]?.outcome != JobOutcome.ACTIVE
        } else {
            moment.now.millisSince(requestedAt) > STOP_RETRY_MILLIS
        }
    }

    private fun stopUnexpected(
        host: Host,
        run: TaskRun,
        moment: Moment,
    ) {
        host.pauseUntil(moment.now.plusMillis(UNEXPECTED_PAUSE_MILLIS))
        state.effects.afterStored(SchedulerEffect.Stop(host.incarnation, run, StopReason.NOT_EXPECTED))
        state.effects.logDecision(Decision("unexpected", run.task.job, run, host.incarnation))
    }

    private fun handleUnlisted(
        host: Host,
        placed: PlacedRun,
        report: HostReport,
        moment: Moment,
    ) {
        val isSettled = report.listsAllEnds && report.pollNumber > placed.settledAfterPoll
        val job = state.jobs[placed.run.task.job]
        when {
            isSettled && placed.isStartExcluded -> transitions.release(host, placed, "not on the host")
            placed.isCommandSent && !isSettled -> Unit
            placed.stopRequestedAt != null ->
                transitions.stop(host, placed, placed.stopReason ?: StopReason.JOB_ENDED, moment)
            job == null || job.outcome != JobOutcome.ACTIVE || host.description.isDraining ->
                transitions.stop(host, placed, StopReason.JOB_ENDED, moment)
            !capacityGuard.hasCapacity(host) -> transitions.stop(host, placed, StopReason.NO_CAPACITY, moment)
            else -> {
                placed.settledAfterPoll = Long.MAX_VALUE
                transitions.sendStart(job, host, placed)
            }
        }
    }

    private companion object {
        /** Pause of a host that lists a run not expected there. Its next report arrives sooner. */
        private const val UNEXPECTED_PAUSE_MILLIS = 500L

        /** Time after which the stop command for a run that is still listed is repeated. */
        private const val STOP_RETRY_MILLIS = 500L
    }
}
