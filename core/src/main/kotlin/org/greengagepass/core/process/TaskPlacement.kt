/*
 * Placement of waiting tasks. Each round updates the hosts and then decides on one task after the other. The cost of a
 * decision grows with the logarithm of the number of hosts: an index finds candidates, and only a few are scored.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority
import kotlin.random.Random

/** Places tasks by priority, share, interference and fit. [seed] determines which candidates are drawn. */
public class TaskPlacement(
    private val sources: PlacementSources,
    private val models: PlacementModels = PlacementModels(),
    seed: Long = 0,
) : PlacementPolicy {
    private val fairShare = FairShare(sources::quotaOf)
    private val hosts = RoundHosts(sources, models.health)
    private val hostSearch = HostSearch(hosts, PlacementScore(sources, models), Random(seed))
    private val deferral = Deferral(sources, models)
    private val unconfirmed = UnconfirmedPlacements()
    private val reasons = HashMap<TaskId, WaitReason>()
    private val unplacedSince = HashMap<TaskId, Timestamp>()
    private val evictions = LinkedHashSet<TaskId>()

    /** Index nodes visited so far, a measure of cost that does not depend on the machine. */
    public val indexVisits: Long
        get() = hosts.states.freeCapacityIndex.visits + hosts.states.preemptibleCapacityIndex.visits

    /** Why the waiting task [taskId] was not placed in the last round. */
    public fun waitReasonOf(taskId: TaskId): WaitReason = reasons[taskId] ?: WaitReason.QueuedBehindOthers

    /** Tasks that were chosen since the last call to be evicted for urgent ones. */
    public fun takeEvictions(): List<TaskId> = evictions.toList().also { evictions.clear() }

    /** Handles that [taskId] has ended: it no longer counts, even if no round has seen it on its host. */
    public fun ended(taskId: TaskId) {
        unconfirmed.remove(taskId)
        unplacedSince.remove(taskId)
    }

    override fun place(round: PlacementRound): List<Placement> {
        val waiting = round.waiting.toList()
        begin(round, waiting)
        val queue = FairQueue(fairShare, round.now)
        waiting.forEach { queue.add(it, priorityOf(it)) }
        queue.build()
        val placements = ArrayList<Placement>()
        var hasMore = true
        while (hasMore && placements.size < round.maximum) {
            hasMore = queue.next { task, priority -> decide(task, priority, round.now)?.let { placements += it } }
        }
        return placements
    }

    private fun begin(
        round: PlacementRound,
        waiting: List<Task>,
    ) {
        reasons.clear()
        val identifiers = waiting.mapTo(HashSet()) { it.id }
        unconfirmed.prune(identifiers, round)
        hosts.update(round.hosts, round.now)
        hostSearch.reservations.prune(identifiers, round.now)
        hostSearch.beginRound()
        unplacedSince.keys.retainAll(identifiers)
        deferral.retain(identifiers)
        val usage = hosts.usageByTeam()
        unconfirmed.addTo(usage)
        val teams = waiting.mapTo(HashSet(usage.keys)) { it.specification.team }
        teams.forEach { usage[it] = (usage[it] ?: Resources.NONE) + sources.runningElsewhere(it) }
        fairShare.setRunning(usage)
        fairShare.setFleetCapacity(hosts.total)
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
                hosts.states.all.isEmpty() -> WaitReason.NoHosts
                decision is LimitDecision.ExceedsEveryHost ->
                    WaitReason.ExceedsEveryHost(decision.need, hosts.largest)
                limit != null && !fairShare.isWithinQuota(specification.team, limit) ->
                    WaitReason.OverQuota(specification.team, limit)
                else -> null
            }
        val host = limit?.takeIf { reason == null }?.let { hostSearch.find(task, it) }
        return when {
            host != null && limit != null && deferral.defers(task, priority, host, limit, now) ->
                null.also { reasons[task.id] = WaitReason.Interference(specification.kind) }
            host != null && limit != null -> placed(task, host, limit, now)
            else -> recordWait(task, priority, reason, limit, now)
        }
    }

    private fun placed(
        task: Task,
        host: HostState,
        limit: Resources,
        now: Timestamp,
    ): Placement {
        val team = task.specification.team
        hostSearch.assign(task, host, limit)
        deferral.placed(task, host, limit, now)
        models.health.placed(host.id, task.id, now)
        hosts.refreshAvailability(host, now)
        fairShare.placed(team, limit, now)
        unconfirmed.add(task.id, UnconfirmedPlacement(team, limit, now))
        unplacedSince.remove(task.id)
        return Placement(task.id, host.id, limit)
    }

    private fun recordWait(
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
        val since = unplacedSince.getOrPut(task.id) { now }
        val existing = hostSearch.reservations[task.id]
        return when {
            existing != null -> existing
            priority == Priority.URGENT ->
                hostSearch.reserveByEviction(task.id, limit, now)?.also {
                    evictions +=
                        it.victims
                }
            now.millisSince(since) >= STARVATION_MILLIS -> hostSearch.reserveUntilFree(task.id, limit, now)
            else -> null
        }
    }

    public companion object {
        /** Wait after which capacity is reserved for a task, so that smaller tasks can't starve it. */
        public const val STARVATION_MILLIS: Long = 30_000
    }
}
