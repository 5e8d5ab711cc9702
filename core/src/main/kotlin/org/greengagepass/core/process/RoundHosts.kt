/*
 * Host states of the current placement round, and totals over them.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Priority

/** Updates host states from the hosts of a round, and computes the totals. */
internal class RoundHosts(
    private val sources: PlacementSources,
    private val health: WorkerHealth,
) {
    val states = HostStates()

    /** Number of tasks by rack and kind. */
    private val rackTasks = HashMap<Pair<RackKey, WorkKind>, Int>()
    private val kindTasks = HashMap<WorkKind, Int>()

    /** Capacity of all hosts for tasks. */
    var total: Resources = Resources.NONE
        private set

    /** The largest capacity of a host for tasks, separately for each kind of resource. */
    var largest: Resources = Resources.NONE
        private set

    fun update(
        views: List<HostView>,
        now: Timestamp,
    ) {
        states.retain(views.mapTo(HashSet()) { it.host })
        rackTasks.clear()
        kindTasks.clear()
        total = Resources.NONE
        largest = Resources.NONE
        views.forEach { update(it, now) }
    }

    fun usageByTeam(): HashMap<TeamName, Resources> {
        val usage = HashMap<TeamName, Resources>()
        states.all.forEach { host ->
            host.teams.forEach { (team, amount) -> usage[team] = (usage[team] ?: Resources.NONE) + amount }
        }
        return usage
    }

    /** Fraction of the tasks of [kind] that are on the rack of [host]. */
    fun rackShare(
        host: HostState,
        kind: WorkKind,
    ): Double {
        val onRack = rackTasks[host.rack to kind] ?: return 0.0
        return onRack.toDouble() / (kindTasks[kind] ?: onRack)
    }

    fun countOnRack(
        host: HostState,
        kind: WorkKind,
    ) {
        rackTasks.merge(host.rack to kind, 1, Int::plus)
        kindTasks.merge(kind, 1, Int::plus)
    }

    /** A worker runs a probe alone, so its host becomes unavailable once the probe has been placed. */
    fun refreshAvailability(
        host: HostState,
        now: Timestamp,
    ) {
        host.isAvailable = health.availability(host.id, now) !is WorkerAvailability.Quarantined
        states.refresh(host)
    }

    private fun update(
        view: HostView,
        now: Timestamp,
    ) {
        val host = states.getOrAdd(view)
        host.capacity = view.capacity
        host.free = view.free
        host.tasks = view.tasks.mapNotNull(::placedTask)
        summarize(host, view)
        val taskCapacity = host.taskCapacity
        total += taskCapacity
        largest = larger(largest, taskCapacity)
        refreshAvailability(host, now)
    }

    private fun summarize(
        host: HostState,
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
            countOnRack(host, kind)
        }
        host.teams = teams
        host.coreShares = shares
    }

    private fun placedTask(task: Task): PlacedTask? {
        val attempt = task.state.attempt ?: return null
        val profile = sources.profileOf(task.specification.profile)
        return PlacedTask(
            taskId = task.id,
            limit = attempt.limit,
            priority = profile?.priority ?: Priority.NORMAL,
            evictable = profile?.evictable == true,
            attemptToken = attempt.token.value,
        )
    }
}
