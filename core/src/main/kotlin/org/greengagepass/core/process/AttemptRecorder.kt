/*
 * Handles the attempt events of agents, and ends attempts whose lease has expired.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.process.OwnerInput.AttemptEvent
import org.greengagepass.core.process.TaskRecord.Checkpointed
import org.greengagepass.core.process.TaskRecord.Started

/** Queues the records that follow from attempt events and from missing heartbeats. */
internal class AttemptRecorder(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
    private val hosts: ReportingHosts,
    private val ends: AttemptEnds,
) {
    private val state = context.state

    /**
     * Handles [event]. If its attempt is not current, the event has no effect and the next grant lists the token as
     * recorded.
     */
    fun event(event: AttemptEvent) {
        val task = state.tasks[event.taskId]
        val attempt = task?.state?.attempt
        when {
            !ownership.mayWrite -> Unit
            attempt == null || attempt.token != event.token -> ends.markRecorded(event.host, event.token)
            !ends.isEnding(event.token) -> apply(event, task, attempt)
        }
    }

    /** Queues a record that the attempt of [task] has started, unless one is in the log. */
    fun started(
        task: Task,
        attempt: Attempt,
    ) {
        if (task.state is TaskState.Assigned) {
            context.appender.offer(Started(context.epoch, task.id, attempt.token))
        }
    }

    /** Queues [checkpoint] if it is newer than the recorded one. */
    fun checkpointed(
        task: Task,
        attempt: Attempt,
        checkpoint: Checkpoint,
    ) {
        if (checkpoint.number > task.checkpoint.number) {
            context.appender.offer(Checkpointed(context.epoch, task.id, attempt.token, checkpoint))
        }
    }

    /** Queues the end of the attempt of [task] if its lease has expired. */
    fun endIfExpired(
        task: Task,
        isHostFenced: Boolean,
    ) {
        val attempt = task.state.attempt
        if (attempt != null && !ends.isEnding(attempt.token) && ends.hasExpired(attempt, isHostFenced)) {
            ends.release(task, attempt, ReleaseReason.LEASE_ENDED)
        }
    }

    /** Ends the expired attempts of hosts that send no heartbeats. */
    fun tick() {
        if (ownership.mayWrite) {
            hosts.takeDueChecks().forEach(::checkSilentHost)
        }
    }

    private fun checkSilentHost(host: HostId) {
        val silentAt = hosts[host]?.lastHeartbeatAt?.plusMillis(context.leaseAndMarginMillis)
        if (silentAt != null && context.now < silentAt) {
            hosts.scheduleCheck(host, silentAt)
            return
        }
        val tasks = state.tasks.on(host)
        tasks.forEach { endIfExpired(it, isHostFenced = false) }
        if (tasks.isEmpty()) {
            hosts.remove(host)
            ends.takeRecorded(host)
        } else {
            hosts.scheduleCheck(host, context.now.plusMillis(context.settings.marginMillis))
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
     * A refusal proves that nothing runs only if no other agent was or can be sent the start: neither an agent that
     * replaced the sender, nor an agent that an earlier owner still sends grants to.
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
