/*
 * Assignment of waiting tasks to hosts, once per flush window.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.TaskRecord.Assigned
import org.greengagepass.core.process.TaskRecord.Failed

/** Requests placements from the policy and queues their records; fails tasks that cannot run. */
internal class PlacementRounds(
    private val context: OwnerContext,
    private val permission: StartPermission,
    private val hosts: ReportingHosts,
    private val policy: PlacementPolicy,
) {
    private val state = context.state
    private val assigning = HashMap<TaskId, HostId>()
    private val unrunnable = LinkedHashSet<TaskId>()
    private var nextRoundAt = Timestamp(0)

    /** Places tasks if a round is due; [mayPlace] is false while the entry is stopping or not the owner. */
    fun tick(mayPlace: Boolean) {
        if (mayPlace && context.now >= nextRoundAt) {
            // A task may have been cancelled since.
            unrunnable.removeIf { state.tasks[it]?.state !is TaskState.Waiting }
            unrunnable.forEach(::fail)
            nextRoundAt = context.now.plusMillis(context.settings.flushWindowMillis)
            val hasQueueCapacity = context.appender.size < context.settings.queueMaximum / 2
            if (permission.isGranted && hasQueueCapacity && state.tasks.waiting.size > unrunnable.size) {
                policy.place(round()).take(context.settings.placementsMaximum).forEach(::assign)
            }
        }
    }

    /** Handles that [record] was read back: the state now contains it, or it had no effect. */
    fun readBack(record: Assigned) {
        assigning.remove(record.taskId)?.let { hosts[it]?.assigning?.remove(record.taskId) }
    }

    /** Checks whether the released task [taskId] has failed too often. */
    fun released(taskId: TaskId) {
        if (state.tasks[taskId]?.cannotRun == true) {
            unrunnable += taskId
        }
    }

    /** Checks the waiting tasks of earlier owners. */
    fun ownershipGained() {
        state.tasks.waiting.forEach { released(it.id) }
    }

    fun clear() {
        assigning.clear()
        unrunnable.clear()
    }

    private fun round(): PlacementRound =
        PlacementRound(
            waiting =
                state.tasks.waiting
                    .asSequence()
                    .filter { it.id !in assigning && it.id !in unrunnable },
            hosts = hosts.all.filter(::isEligible).map { it.view(state.tasks) },
            now = context.now,
            maximum = context.settings.placementsMaximum,
        )

    private fun isEligible(host: ReportingHost): Boolean =
        context.now.millisSince(host.lastHeartbeatAt) < context.settings.hostSilenceMillis &&
            !host.heartbeat.draining &&
            !permission.isOut(host.heartbeat.failureDomain)

    private fun assign(placement: Placement) {
        val task = state.tasks[placement.taskId]?.takeIf { it.state is TaskState.Waiting && it.id !in assigning }
        val host = hosts[placement.host]?.takeIf { isEligible(it) && placement.limit.fitsIn(it.free) }
        if (task == null || host == null) {
            return
        }
        val record =
            Assigned(context.epoch, task.id, placement.host, task.lastToken, task.checkpoint, placement.limit)
        if (context.appender.offer(record)) {
            assigning[task.id] = placement.host
            host.assigning[task.id] = placement.limit
            host.free -= placement.limit
        }
    }

    private fun fail(taskId: TaskId) {
        val failures = state.tasks[taskId]?.failures ?: FailureHistory()
        val detail = "cannot run: failed ${failures.count} times in a row on ${failures.hosts.size} hosts"
        context.appender.offer(Failed(context.epoch, taskId, ResultCode.TASK_CANNOT_RUN, detail))
    }
}
