/*
 * Placement of waiting tasks. Each round brings the hosts up to date and then decides on one task after the other.
 * The cost of a decision grows with the logarithm of the number of hosts: candidates come from an index, and only a
 * few of them are scored.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority
import kotlin.random.Random

/** Places tasks by priority, share, interference and fit. [seed] fixes the order in which candidates are drawn. */
public class TaskPlacement(
    private val sources: PlacementSources,
    private val models: PlacementModels = PlacementModels(),
    seed: Long = 0,
) : PlacementPolicy {
    private val fairShare = FairShare(sources::quotaOf)
    private val hosts = RoundHosts(sources, models.health)
    private val rooms = RoomSearch(hosts, PlacementScore(sources, models), Random(seed))
    private val deferral = Deferral(sources, models)
    private val unread = UnreadPlacements()
    private val reasons = HashMap<TaskId, WaitReason>()
    private val missedSince = HashMap<TaskId, Timestamp>()
    private val evictions = LinkedHashSet<TaskId>()

    /** Nodes of the index visited so far, a measure of the cost that does not depend on the machine. */
    public val indexVisits: Long
        get() = hosts.slots.room.visits + hosts.slots.clearable.visits

    /** Why [taskId], which waits, was not placed in the last round. */
    public fun waitReasonOf(taskId: TaskId): WaitReason = reasons[taskId] ?: WaitReason.QueuedBehindOthers

    /** Tasks to evict for urgent ones since the last call. */
    public fun takeEvictions(): List<TaskId> = evictions.toList().also { evictions.clear() }

    /** [taskId] has ended; what it ran no longer counts, even if no round ever saw it on its host. */
    public fun ended(taskId: TaskId) {
        unread.remove(taskId)
        missedSince.remove(taskId)
    }

    override fun place(round: PlacementRound): List<Placement> {
        val waiting = round.waiting.toList()
        begin(round, waiting)
        val teams = WaitingTeams(fairShare, round.now)
        waiting.forEach { teams.add(it, priorityOf(it)) }
        teams.start()
        val placements = ArrayList<Placement>()
        var more = true
        while (more && placements.size < round.maximum) {
            more = teams.next { task, priority -> decide(task, priority, round.now)?.let { placements += it } }
        }
        return placements
    }

    private fun begin(
        round: PlacementRound,
        waiting: List<Task>,
    ) {
        reasons.clear()
        val identifiers = waiting.mapTo(HashSet()) { it.id }
        unread.prune(identifiers, round)
        hosts.update(round.hosts, round.now)
        rooms.reservations.prune(identifiers, round.now)
        rooms.beginRound()
        missedSince.keys.retainAll(identifiers)
        deferral.retain(identifiers)
        val usage = hosts.usageByTeam()
        unread.addTo(usage)
        val teams = waiting.mapTo(HashSet(usage.keys)) { it.specification.team }
        teams.forEach { usage[it] = (usage[it] ?: Resources.NONE) + sources.runningElsewhere(it) }
        fairShare.runningOf(usage)
        fairShare.fleetSize(hosts.total)
    }

    private fun priorityOf(task: Task): Priority =
        sources.profileOf(task.specification.profile)?.priority ?: Priority.NORMAL

    private fun decide(
        task: Task,
        priority: Priority,
        now: Timestamp,
    ): Placement? {
        val specification = task.specification
        val decision =
            models.sizes.limitFor(
                specification.kind,
                specification.declared,
                task.failures.exceededLimit,
                hosts.largest,
            )
        val limit = (decision as? LimitDecision.Limit)?.limit
        val reason =
            when {
                hosts.slots.all.isEmpty() -> WaitReason.NoHosts
                decision is LimitDecision.ExceedsEveryHost ->
                    WaitReason.ExceedsEveryHost(decision.need, hosts.largest)
                limit != null && !fairShare.isWithinQuota(specification.team, limit) ->
                    WaitReason.OverQuota(specification.team, limit)
                else -> null
            }
        val slot = limit?.takeIf { reason == null }?.let { rooms.find(task, it) }
        return when {
            slot != null && limit != null && deferral.defers(task, priority, slot, limit, now) ->
                null.also { reasons[task.id] = WaitReason.Interference(specification.kind) }
            slot != null && limit != null -> placed(task, slot, limit, now)
            else -> waits(task, priority, reason, limit, now)
        }
    }

    private fun placed(
        task: Task,
        slot: HostSlot,
        limit: Resources,
        now: Timestamp,
    ): Placement {
        val team = task.specification.team
        rooms.take(task, slot, limit)
        deferral.placed(task, slot, limit, now)
        models.health.placed(slot.host, task.id, now)
        hosts.refreshAvailability(slot, now)
        fairShare.placed(team, limit, now)
        unread.add(task.id, UnreadPlacement(team, limit, now))
        missedSince.remove(task.id)
        return Placement(task.id, slot.host, limit)
    }

    private fun waits(
        task: Task,
        priority: Priority,
        reason: WaitReason?,
        limit: Resources?,
        now: Timestamp,
    ): Placement? {
        val cause = reason ?: WaitReason.InsufficientCapacity(limit ?: task.specification.declared)
        val reserved =
            if (cause is WaitReason.InsufficientCapacity) reserve(task, priority, cause.need, now) else null
        reasons[task.id] = reserved?.let { WaitReason.CapacityReserved(it.host, it.victims.size) } ?: cause
        return null
    }

    private fun reserve(
        task: Task,
        priority: Priority,
        limit: Resources,
        now: Timestamp,
    ): Reservation? {
        val since = missedSince.getOrPut(task.id) { now }
        val existing = rooms.reservations[task.id]
        return when {
            existing != null -> existing
            priority == Priority.URGENT -> rooms.clear(task.id, limit, now)?.also { evictions += it.victims }
            now.millisSince(since) >= STARVATION_MILLIS -> rooms.hold(task.id, limit, now)
            else -> null
        }
    }

    public companion object {
        /** Wait without room after which room is kept for a task, so that smaller ones can't starve it. */
        public const val STARVATION_MILLIS: Long = 30_000
    }
}
