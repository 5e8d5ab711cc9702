/*
 * Brings the slots up to date with the hosts of a round.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Priority

/** The hosts of the current round and totals over them. */
internal class RoundHosts(
    private val sources: PlacementSources,
    private val health: WorkerHealth,
) {
    val slots = HostSlots()

    /** Number of tasks by rack and kind. */
    private val rackTasks = HashMap<Pair<RackKey, WorkKind>, Int>()
    private val kindTasks = HashMap<WorkKind, Int>()

    /** What all hosts hold for tasks. */
    var total: Resources = Resources.NONE
        private set

    /** The largest amounts that an empty host has for tasks, part by part. */
    var largest: Resources = Resources.NONE
        private set

    fun update(
        views: List<HostView>,
        now: Timestamp,
    ) {
        slots.retain(views.mapTo(HashSet()) { it.host })
        rackTasks.clear()
        kindTasks.clear()
        total = Resources.NONE
        largest = Resources.NONE
        views.forEach { update(it, now) }
    }

    fun usageByTeam(): HashMap<TeamName, Resources> {
        val usage = HashMap<TeamName, Resources>()
        slots.all.forEach { slot ->
            slot.teams.forEach { (team, amount) -> usage[team] = (usage[team] ?: Resources.NONE) + amount }
        }
        return usage
    }

    /** Part of the tasks of [kind] that are on the rack of [slot]. */
    fun rackShare(
        slot: HostSlot,
        kind: WorkKind,
    ): Double {
        val onRack = rackTasks[slot.rack to kind] ?: return 0.0
        return onRack.toDouble() / (kindTasks[kind] ?: onRack)
    }

    fun countOnRack(
        slot: HostSlot,
        kind: WorkKind,
    ) {
        rackTasks.merge(slot.rack to kind, 1, Int::plus)
        kindTasks.merge(kind, 1, Int::plus)
    }

    /** A probe occupies its worker alone, so the slot closes once it has been placed. */
    fun refreshAvailability(
        slot: HostSlot,
        now: Timestamp,
    ) {
        slot.isOpen = health.availability(slot.host, now) !is WorkerAvailability.Quarantined
        slots.refresh(slot)
    }

    private fun update(
        view: HostView,
        now: Timestamp,
    ) {
        val slot = slots.slotOf(view)
        slot.capacity = view.capacity
        slot.free = view.free
        slot.tasks = view.tasks.mapNotNull(::runningTask)
        summarize(slot, view)
        val usable = slot.usable
        total += usable
        largest = larger(largest, usable)
        refreshAvailability(slot, now)
    }

    private fun summarize(
        slot: HostSlot,
        view: HostView,
    ) {
        val teams = HashMap<TeamName, Resources>()
        val shares = HashMap<WorkKind, Double>()
        val cores = view.capacity.milliCores.coerceAtLeast(1)
        view.tasks.forEach { task ->
            val limit = task.state.attempt?.limit ?: Resources.NONE
            val kind = task.specification.kind
            teams[task.specification.team] = (teams[task.specification.team] ?: Resources.NONE) + limit
            shares[kind] = (shares[kind] ?: 0.0) + limit.milliCores.toDouble() / cores
            countOnRack(slot, kind)
        }
        slot.teams = teams
        slot.coreShares = shares
    }

    private fun runningTask(task: Task): RunningTask? {
        val attempt = task.state.attempt ?: return null
        val profile = sources.profileOf(task.specification.profile)
        return RunningTask(
            taskId = task.id,
            limit = attempt.limit,
            priority = profile?.priority ?: Priority.NORMAL,
            evictable = profile?.evictable == true,
            attemptToken = attempt.token.value,
        )
    }
}
