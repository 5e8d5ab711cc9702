/*
 * Transitions of a run between its states, with the consequences for its job.
 */
package org.greengagepass.core.process.jobs

/** Applies transitions to runs in [state]. */
internal class RunTransitions(
    private val state: SchedulerState,
) {
    /** Places run [number] of [task] on [host]; the start command is sent once the placement is stored. */
    fun place(
        job: Job,
        task: JobTask,
        host: Host,
        number: Int,
        moment: Moment,
    ) {
        task.lastRun = number
        task.state = TaskState.Placed(host.incarnation)
        val placed = PlacedRun(task, task.run, moment.now)
        host.runs[task.key] = placed
        state.jobs.markChanged(job)
        sendStart(job, host, placed)
        state.effects.logDecision(Decision("placed", job.id, task.run, host.incarnation))
    }

    /** Sends the start command for [placed] once the state is stored. */
    fun sendStart(
        job: Job,
        host: Host,
        placed: PlacedRun,
    ) {
        placed.startIssued()
        val command = StartCommand(placed.run, job.definition.specification.payload, placed.task.checkpoint)
        state.effects.afterStored(SchedulerEffect.Start(host.incarnation, command))
    }

    /** Sends a stop command for [placed] once the state is stored. Its capacity is in use until its end is listed. */
    fun stop(
        host: Host,
        placed: PlacedRun,
        reason: StopReason,
        moment: Moment,
    ) {
        placed.isCommandSent = true
        placed.stopRequestedAt = moment.now
        placed.stopReason = reason
        state.effects.afterStored(SchedulerEffect.Stop(host.incarnation, placed.run, reason))
        val detail = reason.name.lowercase()
        state.effects.logDecision(Decision("stopping", placed.run.task.job, placed.run, host.incarnation, detail))
    }

    /** Handles the end of a run listed by [host]. The task changes only if this is its current run. */
    fun ended(
        host: Host,
        end: RunEnd,
        moment: Moment,
    ) {
        state.runStarted(end.run)
        val placed = host.runs[end.run.task]?.takeIf { it.run.number <= end.run.number }
        if (placed != null) {
            host.runs.remove(end.run.task)
            updateSpeed(host, placed, end, moment)
        }
        state.effects.logDecision(
            Decision("ended", end.run.task.job, end.run, host.incarnation, RunDescriptions.ofEnd(end, placed, moment)),
        )
        val job = state.jobs[end.run.task.job]
        val task = job?.task(end.run.task)
        if (task != null && task.isCurrentRun(host.incarnation, end.run.number)) applyEnd(end, job, task, host, moment)
    }

    private fun updateSpeed(
        host: Host,
        placed: PlacedRun,
        end: RunEnd,
        moment: Moment,
    ) {
        if (end.outcome != RunOutcome.DONE || !placed.indicatesHostSpeed) return
        val elapsed = moment.now.millisSince(placed.placedAt)
        host.speed.update(elapsed, placed.task.step.estimatedMillis, hasEnded = true, moment.now)
    }

    private fun applyEnd(
        end: RunEnd,
        job: Job,
        task: JobTask,
        host: Host,
        moment: Moment,
    ) {
        state.jobs.markChanged(job)
        if (end.outcome == RunOutcome.DONE || end.outcome == RunOutcome.FAILED) {
            task.crashHistory = task.crashHistory.cleared()
        }
        if (end.checkpoint.isNotEmpty()) task.checkpoint = end.checkpoint
        task.state = TaskState.Waiting
        when (end.outcome) {
            RunOutcome.DONE -> done(job, task, host, moment)
            RunOutcome.FAILED -> failed(job, task, host, moment)
            RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.GANG_BROKEN, RunOutcome.GANG_INCOMPLETE -> Unit
        }
    }

    /** Releases [placed], which certainly does not run on [host] and has no listed end. Its task waits again. */
    fun release(
        host: Host,
        placed: PlacedRun,
        reason: String,
    ) {
        host.runs.remove(placed.run.task)
        val job = state.jobs[placed.run.task.job] ?: return
        if (!placed.task.isCurrentRun(host.incarnation, placed.run.number)) return
        placed.lastStatus
            ?.checkpoint
            ?.takeIf { it.isNotEmpty() }
            ?.let { placed.task.checkpoint = it }
        placed.task.state = TaskState.Waiting
        state.jobs.markChanged(job)
        state.effects.logDecision(Decision("released", job.id, placed.run, host.incarnation, reason))
    }

    /** Ends [job] and stops its runs. */
    fun endJob(
        job: Job,
        outcome: JobOutcome,
        moment: Moment,
    ) {
        state.jobs.end(job, outcome, moment.epochMillis)
        state.effects.logDecision(Decision("job_ended", job.id, detail = outcome.name.lowercase()))
        state.hosts.runsOf(job.id).forEach { (host, placed) -> stop(host, placed, StopReason.JOB_ENDED, moment) }
    }

    private fun done(
        job: Job,
        task: JobTask,
        host: Host,
        moment: Moment,
    ) {
        state.reliability.succeeded(host.incarnation)
        if (task.step.lifetime == StepLifetime.STANDING) return
        task.state = TaskState.Done
        if (task.step.coordination == StepCoordination.GANG) {
            job.tasksOf(task.key.occurrence, task.key.step).forEach { it.state = TaskState.Done }
        }
        if (job.outcome == JobOutcome.ACTIVE && job.isAllDone()) endJob(job, JobOutcome.COMPLETED, moment)
    }

    private fun failed(
        job: Job,
        task: JobTask,
        host: Host,
        moment: Moment,
    ) {
        val avoidanceMillis = state.reliability.failed(host.incarnation, task.key, task.failedOn)
        host.avoidUntil(moment.now.plusMillis(avoidanceMillis))
        task.failedOn = host.incarnation
        if (task.step.lifetime == StepLifetime.STANDING) return
        task.failures += 1
        val isUsedUp = task.failures >= state.queueOf(job).attemptsMaximum
        if (isUsedUp && job.outcome == JobOutcome.ACTIVE) endJob(job, JobOutcome.FAILED, moment)
    }
}
