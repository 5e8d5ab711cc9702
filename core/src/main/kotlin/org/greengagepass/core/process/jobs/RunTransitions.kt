/*
 * The changes that a run of a task goes through, each with its consequence for the job.
 */
package org.greengagepass.core.process.jobs

/** Changes runs in [state]. */
internal class RunTransitions(
    private val state: SchedulerState,
) {
    /** Gives the next run of [entry] to [host]; the start is ordered once that is stored. */
    fun place(
        job: Job,
        entry: JobTask,
        host: Host,
        number: Int,
        moment: Moment,
    ) {
        entry.lastRun = number
        entry.state = TaskState.Placed(host.incarnation)
        job.hasBegun = true
        val held = HeldRun(entry, entry.run, moment.now)
        host.runs[entry.key] = held
        state.jobs.touch(job)
        order(job, host, held)
        state.outbox.note(Decision("placed", job.id, entry.run, host.incarnation))
    }

    /** Orders the start of [held] once the state is stored. */
    fun order(
        job: Job,
        host: Host,
        held: HeldRun,
    ) {
        held.isOrdered = true
        val order = StartCommand(held.run, job.definition.specification.payload, held.entry.checkpoint)
        state.outbox.afterStore(SchedulerEffect.Start(host.incarnation, order))
    }

    /** Orders the end of [held]; its room stays taken until the host lists the end. */
    fun stop(
        host: Host,
        held: HeldRun,
        reason: StopReason,
        moment: Moment,
    ) {
        held.isOrdered = true
        held.stopRequestedAt = moment.now
        held.stopReason = reason
        state.outbox.afterStore(SchedulerEffect.Stop(host.incarnation, held.run, reason))
        val detail = reason.name.lowercase()
        state.outbox.note(Decision("stopping", held.run.task.job, held.run, host.incarnation, detail))
    }

    /** The host has listed the end of a run. An end that is not of the run it holds now changes nothing else. */
    fun ended(
        host: Host,
        end: RunEnd,
        moment: Moment,
    ) {
        val held = host.runs[end.run.task]?.takeIf { it.run.number <= end.run.number }
        if (held != null) {
            host.runs.remove(end.run.task)
            learnSpeed(host, held, end, moment)
        }
        state.outbox.note(
            Decision("ended", end.run.task.job, end.run, host.incarnation, RunDescriptions.ofEnd(end, held, moment)),
        )
        val job = state.jobs[end.run.task.job]
        val entry = job?.task(end.run.task)
        if (entry != null && entry.isHeldBy(host.incarnation, end.run.number)) apply(end, job, entry, host, moment)
    }

    private fun learnSpeed(
        host: Host,
        held: HeldRun,
        end: RunEnd,
        moment: Moment,
    ) {
        if (end.outcome != RunOutcome.DONE || !held.isMeasurable) return
        val elapsed = moment.now.millisSince(held.placedAt)
        host.speed.learn(elapsed, held.entry.step.estimatedMillis, hasEnded = true, moment.now)
    }

    private fun apply(
        end: RunEnd,
        job: Job,
        entry: JobTask,
        host: Host,
        moment: Moment,
    ) {
        state.jobs.touch(job)
        if (end.checkpoint.isNotEmpty()) entry.checkpoint = end.checkpoint
        entry.state = TaskState.Waiting
        when (end.outcome) {
            RunOutcome.DONE -> done(job, entry, host, moment)
            RunOutcome.FAILED -> failed(job, entry, host, moment)
            RunOutcome.STOPPED, RunOutcome.LAPSED, RunOutcome.GANG_BROKEN, RunOutcome.GANG_INCOMPLETE -> Unit
        }
    }

    /** The run of [held] is certain not to run on [host] any more, without an end that counts. */
    fun release(
        host: Host,
        held: HeldRun,
        reason: String,
    ) {
        host.runs.remove(held.run.task)
        val job = state.jobs[held.run.task.job] ?: return
        if (!held.entry.isHeldBy(host.incarnation, held.run.number)) return
        held.lastStatus
            ?.checkpoint
            ?.takeIf { it.isNotEmpty() }
            ?.let { held.entry.checkpoint = it }
        held.entry.state = TaskState.Waiting
        state.jobs.touch(job)
        state.outbox.note(Decision("released", job.id, held.run, host.incarnation, reason))
    }

    /** Ends [job] and whatever still runs for it. */
    fun endJob(
        job: Job,
        outcome: JobOutcome,
        moment: Moment,
    ) {
        state.jobs.end(job, outcome, moment.epochMillis)
        state.outbox.note(Decision("job_ended", job.id, detail = outcome.name.lowercase()))
        state.hosts.holding(job.id).forEach { (host, held) -> stop(host, held, StopReason.JOB_ENDED, moment) }
    }

    private fun done(
        job: Job,
        entry: JobTask,
        host: Host,
        moment: Moment,
    ) {
        state.reliability.succeeded(host.incarnation)
        if (entry.step.lifetime == StepLifetime.STANDING) return
        entry.state = TaskState.Done
        if (entry.step.coordination == StepCoordination.GANG) {
            job.tasksOf(entry.key.occurrence, entry.key.step).forEach { it.state = TaskState.Done }
        }
        if (job.outcome == JobOutcome.ACTIVE && job.isAllDone()) endJob(job, JobOutcome.COMPLETED, moment)
    }

    private fun failed(
        job: Job,
        entry: JobTask,
        host: Host,
        moment: Moment,
    ) {
        val pauseMillis = state.reliability.failed(host.incarnation, entry.key, entry.failedOn)
        host.pauseUntil(moment.now.plusMillis(pauseMillis))
        entry.failedOn = host.incarnation
        if (entry.step.lifetime == StepLifetime.STANDING) return
        entry.failures += 1
        val isUsedUp = entry.failures >= state.queueOf(job).attemptsMaximum
        if (isUsedUp && job.outcome == JobOutcome.ACTIVE) endJob(job, JobOutcome.FAILED, moment)
    }
}
