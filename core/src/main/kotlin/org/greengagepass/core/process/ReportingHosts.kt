/*
 * The hosts that send heartbeats to the owner of a partition.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerInput.HostHeartbeat
import java.util.PriorityQueue

/** A host with its last heartbeat. */
internal class ReportingHost(
    var heartbeat: HostHeartbeat,
    var lastHeartbeatAt: Timestamp,
) {
    /** Limits of tasks whose assignment to the host is queued for the log. */
    val assigning = HashMap<TaskId, Resources>()

    /** Capacity that is free after all assignments, whether or not the agent accounts for them yet. */
    var free: Resources = Resources.NONE

    fun view(tasks: TaskTable): HostView =
        HostView(
            host = heartbeat.host,
            failureDomain = heartbeat.failureDomain,
            rack = heartbeat.rack,
            capacity = heartbeat.capacity,
            free = free,
            tasks = tasks.on(heartbeat.host),
        )
}

/** Hosts by identifier, and when to check whether the attempts of a silent one have expired. */
internal class ReportingHosts(
    private val context: OwnerContext,
) {
    private val byIdentifier = HashMap<HostId, ReportingHost>()
    private val checks = PriorityQueue<ScheduledCheck>(compareBy { it.at })
    private val scheduled = HashSet<HostId>()

    private class ScheduledCheck(
        val host: HostId,
        val at: Timestamp,
    )

    val all: Collection<ReportingHost>
        get() = byIdentifier.values

    operator fun get(host: HostId): ReportingHost? = byIdentifier[host]

    /** Applies [heartbeat]; null if it is not newer than the last one, or if its agent has seen a newer epoch. */
    fun update(
        heartbeat: HostHeartbeat,
        epoch: Epoch,
    ): ReportingHost? {
        val known = byIdentifier[heartbeat.host]
        val isOld = known != null && !heartbeat.follows(known.heartbeat)
        if (isOld || heartbeat.highestEpoch > epoch) {
            return null
        }
        val host = known ?: ReportingHost(heartbeat, context.now).also { byIdentifier[heartbeat.host] = it }
        host.heartbeat = heartbeat
        host.lastHeartbeatAt = context.now
        scheduleCheck(heartbeat.host, context.now.plusMillis(context.leaseAndMarginMillis))
        return host
    }

    /** Schedules a check of [host] at [time], unless one is already scheduled. */
    fun scheduleCheck(
        host: HostId,
        time: Timestamp,
    ) {
        if (scheduled.add(host)) {
            checks += ScheduledCheck(host, time)
        }
    }

    /** Hosts whose check is due. */
    fun takeDueChecks(): List<HostId> {
        val due = mutableListOf<HostId>()
        while (checks.isNotEmpty() && checks.peek().at <= context.now) {
            val host = checks.poll().host
            scheduled -= host
            due += host
        }
        return due
    }

    fun remove(host: HostId) {
        byIdentifier.remove(host)
    }

    fun clear() {
        byIdentifier.clear()
        checks.clear()
        scheduled.clear()
    }

    private fun HostHeartbeat.follows(known: HostHeartbeat): Boolean =
        if (incarnation == known.incarnation) sequence > known.sequence else incarnation > known.incarnation
}
