/*
 * The hosts of a placement round with the capacity of each that is free, reserved, or could be freed by evictions. One
 * index finds hosts with enough free capacity, another finds hosts where evictions can free enough.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Priority

/** A task on a host, with the properties that evictions depend on. */
internal class PlacedTask(
    val taskId: TaskId,
    val limit: Resources,
    val priority: Priority,
    val evictable: Boolean,
    val attemptToken: Long,
)

/** A host at [position] of the indices. */
internal class HostState(
    val position: Int,
    view: HostView,
) {
    val id: HostId = view.host
    val rack: RackKey = RackKey(view.failureDomain, view.rack)
    var capacity: Resources = view.capacity
    var free: Resources = view.free
    var reserved: Resources = Resources.NONE
    var isAvailable: Boolean = true
    var tasks: List<PlacedTask> = emptyList()
    var coreShares: Map<WorkKind, Double> = emptyMap()
    var teams: Map<TeamName, Resources> = emptyMap()

    /** Capacity that tasks without a reservation may use. */
    val unreserved: Resources
        get() = free - reserved

    /** Capacity for tasks if no task were on the host. */
    val taskCapacity: Resources
        get() = tasks.fold(free) { sum, task -> sum + task.limit }

    /** Capacity that is free once all preemptible tasks have been evicted. */
    val freeAfterPreemption: Resources
        get() = tasks.filter { it.isPreemptible }.fold(unreserved) { sum, task -> sum + task.limit }
}

internal val PlacedTask.isPreemptible: Boolean
    get() = evictable && priority > Priority.URGENT

/** Key of a rack; rack names are unique only within a failure domain. */
internal data class RackKey(
    val failureDomain: FailureDomainName,
    val rack: RackName,
)

/** Hosts by position. Positions of removed hosts are reused. */
internal class HostStates {
    private val byHost = HashMap<HostId, HostState>()
    private var byPosition = arrayOfNulls<HostState>(INITIAL_POSITIONS)
    private val freePositions = ArrayDeque<Int>((0 until INITIAL_POSITIONS).toList())

    var freeCapacityIndex = HostIndex(INITIAL_POSITIONS)
        private set
    var preemptibleCapacityIndex = HostIndex(INITIAL_POSITIONS)
        private set

    val all: Collection<HostState>
        get() = byHost.values

    val positions: Int
        get() = byPosition.size

    operator fun get(host: HostId): HostState? = byHost[host]

    operator fun get(position: Int): HostState = checkNotNull(byPosition[position]) { "no host at $position" }

    /** The state of the host of [view], added if it is new. */
    fun getOrAdd(view: HostView): HostState = byHost[view.host] ?: add(view)

    /** Removes the hosts that are not in [hosts]. */
    fun retain(hosts: Set<HostId>) {
        val removed = byHost.values.filter { it.id !in hosts }
        removed.forEach { host ->
            byHost.remove(host.id)
            byPosition[host.position] = null
            freeCapacityIndex.set(host.position, null)
            preemptibleCapacityIndex.set(host.position, null)
            freePositions += host.position
        }
    }

    /** Updates the indices from [host]. */
    fun refresh(host: HostState) {
        freeCapacityIndex.set(host.position, host.unreserved.takeIf { host.isAvailable })
        preemptibleCapacityIndex.set(host.position, host.freeAfterPreemption.takeIf { host.isAvailable })
    }

    private fun add(view: HostView): HostState {
        if (freePositions.isEmpty()) grow()
        val host = HostState(freePositions.removeFirst(), view)
        byHost[host.id] = host
        byPosition[host.position] = host
        return host
    }

    private fun grow() {
        val size = byPosition.size
        byPosition = byPosition.copyOf(size * 2)
        freePositions += size until size * 2
        freeCapacityIndex = HostIndex(size * 2)
        preemptibleCapacityIndex = HostIndex(size * 2)
        byHost.values.forEach(::refresh)
    }
}

private const val INITIAL_POSITIONS = 16
