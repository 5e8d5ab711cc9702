/*
 * Handles the requests of callers: submits, finds, counts and cancels jobs. A reply that confirms a change is sent
 * only after the change is stored.
 */
package org.greengagepass.core.process.jobs

/** Handles requests about jobs. The sender of a request numbers its call; the reply carries the same number. */
public class CallerRequestHandler internal constructor(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /**
     * Accepts the job [id]; a repeated submission has no further effect. A job whose cancel came first is refused: its
     * submission may have been under way when its caller gave up.
     */
    public fun submit(
        call: Long,
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        moment: Moment,
    ) {
        if (state.jobs[id] == null && id in state.earlyCancels) {
            val reply = JobReply.NotRun(state.settings.retentionMillis, "the job was cancelled before it was submitted")
            state.effects.immediately(SchedulerEffect.Reply(call, reply))
            return
        }
        if (state.jobs[id] == null) {
            state.jobs.add(Job(id, JobDefinition(queue, specification, moment.epochMillis)))
            state.effects.logDecision(Decision("job_taken", id, detail = queue.name.value))
        }
        state.effects.afterStored(SchedulerEffect.Reply(call, JobReply.Accepted))
    }

    /** Cancels the job [id], also if it is submitted later. */
    public fun cancel(
        call: Long,
        id: JobId,
        moment: Moment,
    ) {
        val job = state.jobs[id]
        if (job == null) {
            state.effects.logDecision(Decision("cancel_unknown", id))
            state.earlyCancels.add(id, moment.epochMillis)
            state.effects.afterStored(SchedulerEffect.Reply(call, JobReply.Unknown))
            return
        }
        if (job.outcome == JobOutcome.ACTIVE) transitions.endJob(job, JobOutcome.CANCELLED, moment)
        state.effects.afterStored(SchedulerEffect.Reply(call, JobReply.Cancelled))
    }

    /** Replies with the status of the job [id]. */
    public fun find(
        call: Long,
        id: JobId,
    ) {
        val reply = state.jobs.visibleStatus(id)?.let { JobReply.Found(it) } ?: JobReply.Unknown
        state.effects.immediately(SchedulerEffect.Reply(call, reply))
    }

    /** Replies with the number of jobs of [queue] that have not begun. */
    public fun countPending(
        call: Long,
        queue: QueueName,
    ): Unit = state.effects.immediately(SchedulerEffect.Reply(call, JobReply.Pending(state.jobs.pendingOf(queue))))
}
