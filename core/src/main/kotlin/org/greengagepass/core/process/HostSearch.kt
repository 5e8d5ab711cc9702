/*
 * Search for a host for a task: one with enough free capacity, one where evictions can free enough for an urgent task,
 * or one where capacity is reserved for a task that has waited too long.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import kotlin.random.Random

internal class HostSearch(
    private val hosts: RoundHosts,
    private val score: PlacementScore,
    private val random: Random,
) {
    private val states = hosts.states
    private val failedLimits = ArrayList<Resources>()

    val reservations = Reservations(states)

    fun beginRound() {
        failedLimits.clear()
    }

    /** The best of a few hosts with enough free capacity for [task]. */
    fun find(
        task: Task,
        limit: Resources,
    ): HostState? {
        val reserved = reservations[task.id]?.let { reservation -> reservedHost(reservation, limit) }
        if (reserved != null || failedLimits.any { it.fitsIn(limit) }) return reserved
        val kind = task.specification.kind
        val best =
            candidates(states.freeCapacityIndex, limit)
                .minByOrNull { score.of(it, kind, limit, hosts.rackShare(it, kind)) }
        if (best == null && failedLimits.size < FAILED_LIMITS_MAXIMUM) failedLimits += limit
        return best
    }

    /** Assigns [limit] of [host] to [task]. */
    fun assign(
        task: Task,
        host: HostState,
        limit: Resources,
    ) {
        reservations.remove(task.id)
        host.free -= limit
        hosts.countOnRack(host, task.specification.kind)
        val kind = task.specification.kind
        val added = limit.milliCores.toDouble() / host.capacity.milliCores.coerceAtLeast(1)
        host.coreShares += kind to (host.coreShares[kind] ?: 0.0) + added
        states.refresh(host)
    }

    /** Reserves [limit] on the host where the evictions that free it cost the least. */
    fun reserveByEviction(
        taskId: TaskId,
        limit: Resources,
        now: Timestamp,
    ): Reservation? {
        val plan =
            candidates(states.preemptibleCapacityIndex, limit)
                .map { EvictionPlan(it, victims(it, limit)) }
                .minByOrNull { it.cost } ?: return null
        val newVictims = plan.victims.filterNot { reservations.isEvicting(it.taskId) }.mapTo(HashSet()) { it.taskId }
        return Reservation(taskId, plan.host.id, limit, newVictims, now.plusMillis(EVICTION_RESERVATION_MILLIS))
            .also(reservations::add)
    }

    /** Reserves [limit] on the host that lacks the least capacity, until enough of its tasks have ended. */
    fun reserveUntilFree(
        taskId: TaskId,
        limit: Resources,
        now: Timestamp,
    ): Reservation? {
        val mayReserve = reservations.size < maxOf(1, states.all.size / HOSTS_PER_RESERVATION)
        val host =
            states.all
                .takeIf { mayReserve }
                .orEmpty()
                .filter { it.isAvailable && limit.fitsIn(it.taskCapacity - it.reserved) }
                .minByOrNull { dominantShare(limit - it.unreserved, it.capacity) } ?: return null
        return Reservation(taskId, host.id, limit, emptySet(), now.plusMillis(STARVATION_RESERVATION_MILLIS))
            .also(reservations::add)
    }

    private fun reservedHost(
        reservation: Reservation,
        limit: Resources,
    ): HostState? {
        val host = states[reservation.host]?.takeIf { it.isAvailable } ?: return null
        return host.takeIf { limit.fitsIn(it.unreserved + reservation.limit) }
    }

    private fun candidates(
        index: HostIndex,
        limit: Resources,
    ): List<HostState> {
        val found = LinkedHashSet<Int>()
        repeat(times = CANDIDATES) {
            val start = random.nextInt(states.positions)
            found += index.find(limit, start) ?: return emptyList()
        }
        return found.map { states[it] }
    }

    /** Tasks of [host] to evict, those with the lowest priority and the newest attempt first. */
    private fun victims(
        host: HostState,
        limit: Resources,
    ): List<PlacedTask> {
        var free = host.unreserved
        return host.tasks
            .filter { it.isPreemptible }
            .sortedWith(compareByDescending<PlacedTask> { it.priority }.thenByDescending { it.attemptToken })
            .takeWhile { task ->
                val isNeeded = !limit.fitsIn(free)
                if (isNeeded) free += task.limit
                isNeeded
            }
    }

    private class EvictionPlan(
        val host: HostState,
        val victims: List<PlacedTask>,
    ) {
        /** Processor limits of the tasks that would have to be placed again. */
        val cost: Long = victims.sumOf { it.limit.milliCores }
    }
}

/** Hosts that are scored for a task. Of 8 hosts drawn at random, one is in the best quarter in 9 of 10 cases. */
private const val CANDIDATES = 8

/** Limits without a host in the round; a task that needs at least as much is not searched for again. */
private const val FAILED_LIMITS_MAXIMUM = 32

/** A command waits up to 1 s for a grant, and the worker needs time to checkpoint; after that another host is tried. */
private const val EVICTION_RESERVATION_MILLIS = 2_000L
private const val STARVATION_RESERVATION_MILLIS = 600_000L
private const val HOSTS_PER_RESERVATION = 10
