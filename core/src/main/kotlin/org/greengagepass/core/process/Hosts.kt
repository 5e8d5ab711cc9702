/*
 * The hosts that report to the owner of a partition.
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
    var heardAt: Timestamp,
) {
    /** Limits of tasks whose assignment to the host is queued. */
    val assigning = HashMap<TaskId, Resources>()

    /** What is left after all that is assigned, whether the agent counts it already or not. */
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

/** Hosts by identifier, and when to look whether the attempts of a silent one have lapsed. */
internal class Hosts(
    private val context: OwnerContext,
) {
    private val byIdentifier = HashMap<HostId, ReportingHost>()
    private val looks = PriorityQueue<Look>(compareBy { it.at })
    private val scheduled = HashSet<HostId>()

    private class Look(
        val host: HostId,
        val at: Timestamp,
    )

    val all: Collection<ReportingHost>
        get() = byIdentifier.values

    operator fun get(host: HostId): ReportingHost? = byIdentifier[host]

    /** Notes [heartbeat]; null if it is older than one already handled, or its agent serves a newer owner. */
    fun hear(
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
        host.heardAt = context.now
        lookAt(heartbeat.host, context.now.plusMillis(context.leaseAndMarginMillis))
        return host
    }

    /** Looks at [host] at [time], unless a look is planned already. */
    fun lookAt(
        host: HostId,
        time: Timestamp,
    ) {
        if (scheduled.add(host)) {
            looks += Look(host, time)
        }
    }

    /** Hosts to look at now. */
    fun takeDue(): List<HostId> {
        val due = mutableListOf<HostId>()
        while (looks.isNotEmpty() && looks.peek().at <= context.now) {
            val host = looks.poll().host
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
        looks.clear()
        scheduled.clear()
    }

    private fun HostHeartbeat.follows(known: HostHeartbeat): Boolean =
        if (incarnation == known.incarnation) sequence > known.sequence else incarnation > known.incarnation
}
