/*
 * What follows from what callers ask: jobs are taken, found, counted and cancelled. Answers that promise something
 * are given once the state that they rest on is stored.
 */
package org.greengagepass.core.process.jobs

/** Handles calls about jobs. Calls are numbered by whoever passes them on. */
public class CallerRequestHandler internal constructor(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Takes the job [id], once. */
    public fun submit(
        call: Long,
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        moment: Moment,
    ) {
        if (state.jobs[id] == null) {
            state.jobs.add(Job(id, JobDefinition(queue, specification, moment.epochMillis)))
            state.outbox.note(Decision("job_taken", id, detail = queue.name.value))
        }
        state.outbox.afterStore(SchedulerEffect.Reply(call, JobReply.Accepted))
    }

    /** Cancels the job [id]. */
    public fun cancel(
        call: Long,
        id: JobId,
        moment: Moment,
    ) {
        val job = state.jobs[id]
        if (job == null) {
            state.outbox.now(SchedulerEffect.Reply(call, JobReply.Unknown))
            return
        }
        if (job.outcome == JobOutcome.ACTIVE) transitions.endJob(job, JobOutcome.CANCELLED, moment)
        state.outbox.afterStore(SchedulerEffect.Reply(call, JobReply.Cancelled))
    }

    /** Tells what became of the job [id]. */
    public fun find(
        call: Long,
        id: JobId,
    ) {
        val reply = state.jobs.shownStatus(id)?.let { JobReply.Found(it) } ?: JobReply.Unknown
        state.outbox.now(SchedulerEffect.Reply(call, reply))
    }

    /** Counts the jobs of [queue] that have not begun. */
    public fun countPending(
        call: Long,
        queue: QueueName,
    ): Unit = state.outbox.now(SchedulerEffect.Reply(call, JobReply.Pending(state.jobs.pendingOf(queue))))
}
