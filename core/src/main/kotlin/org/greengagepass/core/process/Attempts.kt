/*
 * What the agents report of attempts, and the end of attempts whose grants are over.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.process.OwnerInput.AttemptEvent
import org.greengagepass.core.process.TaskRecord.Checkpointed
import org.greengagepass.core.process.TaskRecord.Started

/** Queues the records that follow from reports and from silence. */
internal class Attempts(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
    private val hosts: Hosts,
    private val ends: AttemptEnds,
) {
    private val state = context.state

    /** Handles [event]; one of an attempt that is not current has no effect, and the agent is told so. */
    fun event(event: AttemptEvent) {
        val task = state.tasks[event.taskId]
        val attempt = task?.state?.attempt
        when {
            !ownership.mayWrite -> Unit
            attempt == null || attempt.token != event.token -> ends.record(event.host, event.token)
            !ends.isEnding(event.token) -> apply(event, task, attempt)
        }
    }

    /** Queues that the attempt of [task] has started, unless that is recorded. */
    fun started(
        task: Task,
        attempt: Attempt,
    ) {
        if (task.state is TaskState.Assigned) {
            context.appender.offer(Started(context.epoch, task.id, attempt.token))
        }
    }

    /** Queues [checkpoint] if it is newer than the one recorded. */
    fun checkpointed(
        task: Task,
        attempt: Attempt,
        checkpoint: Checkpoint,
    ) {
        if (checkpoint.number > task.checkpoint.number) {
            context.appender.offer(Checkpointed(context.epoch, task.id, attempt.token, checkpoint))
        }
    }

    /** Queues the end of the attempt of [task] if it has lapsed. */
    fun endIfLapsed(
        task: Task,
        hostAnswers: Boolean,
    ) {
        val attempt = task.state.attempt
        if (attempt != null && !ends.isEnding(attempt.token) && ends.hasLapsed(attempt, hostAnswers)) {
            ends.release(task, attempt, ReleaseReason.LEASE_ENDED)
        }
    }

    /** Looks after silent hosts. */
    fun tick() {
        if (ownership.mayWrite) {
            hosts.takeDue().forEach(::look)
        }
    }

    private fun look(host: HostId) {
        val silentAt = hosts[host]?.heardAt?.plusMillis(context.leaseAndMarginMillis)
        if (silentAt != null && context.now < silentAt) {
            hosts.lookAt(host, silentAt)
            return
        }
        val tasks = state.tasks.on(host)
        tasks.forEach { endIfLapsed(it, hostAnswers = false) }
        if (tasks.isEmpty()) {
            hosts.remove(host)
            ends.takeRecorded(host)
        } else {
            hosts.lookAt(host, context.now.plusMillis(context.settings.marginMillis))
        }
    }

    private fun apply(
        event: AttemptEvent,
        task: Task,
        attempt: Attempt,
    ) {
        when (val change = event.change) {
            is AttemptChange.Started -> started(task, attempt)
            is AttemptChange.Refused -> refused(event, task, attempt)
            is AttemptChange.Checkpointed -> checkpointed(task, attempt, change.checkpoint)
            is AttemptChange.Finished -> ends.finish(task, attempt, change.result)
            is AttemptChange.Stopped -> {
                checkpointed(task, attempt, change.checkpoint)
                ends.release(task, attempt, change.reason)
            }
        }
    }

    /**
     * A refusal proves that nothing runs only if no other agent was or can be told to start the attempt: not an
     * agent that replaced the sender, nor one that an earlier owner may still answer.
     */
    private fun refused(
        event: AttemptEvent,
        task: Task,
        attempt: Attempt,
    ) {
        val isLatestAgent = hosts[event.host]?.heartbeat?.incarnation == event.incarnation
        if (isLatestAgent && ends.isOwn(attempt)) {
            ends.release(task, attempt, ReleaseReason.REFUSED)
        }
    }
}
