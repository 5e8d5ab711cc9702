/*
 * The hosts of a placement round with what is free on each, what is reserved, and what evictions could free. Two
 * indices find hosts with room now and hosts where room can be made.
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

/** A task on a host, as far as evictions are concerned. */
internal class RunningTask(
    val taskId: TaskId,
    val limit: Resources,
    val priority: Priority,
    val evictable: Boolean,
    val attemptToken: Long,
)

/** A host at [position] of the indices. */
internal class HostSlot(
    val position: Int,
    view: HostView,
) {
    val host: HostId = view.host
    val rack: RackKey = RackKey(view.failureDomain, view.rack)
    var capacity: Resources = view.capacity
    var free: Resources = view.free
    var reserved: Resources = Resources.NONE
    var isOpen: Boolean = true
    var tasks: List<RunningTask> = emptyList()
    var coreShares: Map<WorkKind, Double> = emptyMap()
    var teams: Map<TeamName, Resources> = emptyMap()

    /** What tasks without a reservation may use. */
    val unreserved: Resources
        get() = free - reserved

    /** What an empty host has for tasks. */
    val usable: Resources
        get() = tasks.fold(free) { sum, task -> sum + task.limit }

    /** What is free once all evictable tasks of lower priority than urgent have been evicted. */
    val clearable: Resources
        get() = tasks.filter { it.mayMakeRoom }.fold(unreserved) { sum, task -> sum + task.limit }
}

internal val RunningTask.mayMakeRoom: Boolean
    get() = evictable && priority > Priority.URGENT

/** A rack; names of racks are unique within a failure domain only. */
internal data class RackKey(
    val failureDomain: FailureDomainName,
    val rack: RackName,
)

/** Slots by position. Positions of hosts that are gone are reused. */
internal class HostSlots {
    private val byHost = HashMap<HostId, HostSlot>()
    private var byPosition = arrayOfNulls<HostSlot>(INITIAL_POSITIONS)
    private val unusedPositions = ArrayDeque<Int>((0 until INITIAL_POSITIONS).toList())

    var room = HostIndex(INITIAL_POSITIONS)
        private set
    var clearable = HostIndex(INITIAL_POSITIONS)
        private set

    val all: Collection<HostSlot>
        get() = byHost.values

    val positions: Int
        get() = byPosition.size

    operator fun get(host: HostId): HostSlot? = byHost[host]

    operator fun get(position: Int): HostSlot = checkNotNull(byPosition[position]) { "no host at $position" }

    /** The slot of the host of [view], made if it is new. */
    fun slotOf(view: HostView): HostSlot = byHost[view.host] ?: add(view)

    /** Takes out the hosts that are not in [hosts]. */
    fun retain(hosts: Set<HostId>) {
        val gone = byHost.values.filter { it.host !in hosts }
        gone.forEach { slot ->
            byHost.remove(slot.host)
            byPosition[slot.position] = null
            room.set(slot.position, null)
            clearable.set(slot.position, null)
            unusedPositions += slot.position
        }
    }

    /** Brings the indices up to date with [slot]. */
    fun refresh(slot: HostSlot) {
        room.set(slot.position, slot.unreserved.takeIf { slot.isOpen })
        clearable.set(slot.position, slot.clearable.takeIf { slot.isOpen })
    }

    private fun add(view: HostView): HostSlot {
        if (unusedPositions.isEmpty()) grow()
        val slot = HostSlot(unusedPositions.removeFirst(), view)
        byHost[slot.host] = slot
        byPosition[slot.position] = slot
        return slot
    }

    private fun grow() {
        val size = byPosition.size
        byPosition = byPosition.copyOf(size * 2)
        unusedPositions += size until size * 2
        room = HostIndex(size * 2)
        clearable = HostIndex(size * 2)
        byHost.values.forEach(::refresh)
    }
}

private const val INITIAL_POSITIONS = 16
