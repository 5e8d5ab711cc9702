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

/** Asks the policy for placements and queues the records; gives up tasks that cannot run. */
internal class PlacementRounds(
    private val context: OwnerContext,
    private val permission: StartPermission,
    private val hosts: Hosts,
    private val policy: PlacementPolicy,
) {
    private val state = context.state
    private val assigning = HashMap<TaskId, HostId>()
    private val condemned = LinkedHashSet<TaskId>()
    private var nextRoundAt = Timestamp(0)

    /** Places tasks if a round is due; [mayPlace] is false while the entry is stopping or not the owner. */
    fun tick(mayPlace: Boolean) {
        if (mayPlace && context.now >= nextRoundAt) {
            // A task may also have been cancelled in the meantime.
            condemned.removeIf { state.tasks[it]?.state !is TaskState.Waiting }
            condemned.forEach(::giveUp)
            nextRoundAt = context.now.plusMillis(context.settings.flushWindowMillis)
            val hasRoom = context.appender.size < context.settings.queueMaximum / 2
            if (permission.isGiven && hasRoom && state.tasks.waiting.size > condemned.size) {
                policy.place(round()).take(context.settings.placementsMaximum).forEach(::assign)
            }
        }
    }

    /** Notes that [record] was read back; it is now part of the state or has no effect. */
    fun readBack(record: Assigned) {
        assigning.remove(record.taskId)?.let { hosts[it]?.assigning?.remove(record.taskId) }
    }

    /** Looks whether the released task [taskId] has failed too often. */
    fun released(taskId: TaskId) {
        if (state.tasks[taskId]?.cannotRun == true) {
            condemned += taskId
        }
    }

    /** Takes up what an earlier owner left. */
    fun ownershipGained() {
        state.tasks.waiting.forEach { released(it.id) }
    }

    fun clear() {
        assigning.clear()
        condemned.clear()
    }

    private fun round(): PlacementRound =
        PlacementRound(
            waiting =
                state.tasks.waiting
                    .asSequence()
                    .filter { it.id !in assigning && it.id !in condemned },
            hosts = hosts.all.filter(::isEligible).map { it.view(state.tasks) },
            now = context.now,
            maximum = context.settings.placementsMaximum,
        )

    private fun isEligible(host: ReportingHost): Boolean =
        context.now.millisSince(host.heardAt) < context.settings.hostSilenceMillis &&
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

    private fun giveUp(taskId: TaskId) {
        val failures = state.tasks[taskId]?.failures ?: FailureHistory()
        val detail = "cannot run: failed ${failures.count} times in a row on ${failures.hosts.size} hosts"
        context.appender.offer(Failed(context.epoch, taskId, ResultCode.TASK_CANNOT_RUN, detail))
    }
}
