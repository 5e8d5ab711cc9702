/*
 * The search for room: a host with enough free now, a host where evictions make room for an urgent task, or a host
 * to hold for a task that has waited too long.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import kotlin.random.Random

internal class RoomSearch(
    private val hosts: RoundHosts,
    private val score: PlacementScore,
    private val random: Random,
) {
    private val slots = hosts.slots
    private val missed = ArrayList<Resources>()

    val reservations = Reservations(slots)

    fun beginRound() {
        missed.clear()
    }

    /** The best of a few hosts with room for [task]. */
    fun find(
        task: Task,
        limit: Resources,
    ): HostSlot? {
        val reserved = reservations[task.id]?.let { reservation -> reservedSlot(reservation, limit) }
        if (reserved != null || missed.any { it.fitsIn(limit) }) return reserved
        val kind = task.specification.kind
        val best =
            candidates(slots.room, limit).minByOrNull { score.of(it, kind, limit, hosts.rackShare(it, kind)) }
        if (best == null && missed.size < MISSES_REMEMBERED) missed += limit
        return best
    }

    /** Takes [limit] of [slot] for [task]. */
    fun take(
        task: Task,
        slot: HostSlot,
        limit: Resources,
    ) {
        reservations.remove(task.id)
        slot.free -= limit
        hosts.countOnRack(slot, task.specification.kind)
        val kind = task.specification.kind
        val added = limit.milliCores.toDouble() / slot.capacity.milliCores.coerceAtLeast(1)
        slot.coreShares += kind to (slot.coreShares[kind] ?: 0.0) + added
        slots.refresh(slot)
    }

    /** Reserves room on the host where it takes the least to evict enough for [limit]. */
    fun clear(
        taskId: TaskId,
        limit: Resources,
        now: Timestamp,
    ): Reservation? {
        val plan =
            candidates(slots.clearable, limit)
                .map { EvictionPlan(it, victims(it, limit)) }
                .minByOrNull { it.cost } ?: return null
        val fresh = plan.victims.filterNot { reservations.isEvicting(it.taskId) }.mapTo(HashSet()) { it.taskId }
        return Reservation(taskId, plan.slot.host, limit, fresh, now.plusMillis(CLEARING_MILLIS))
            .also(reservations::add)
    }

    /** Reserves room for [limit] on the host with the most free, where other tasks have to end first. */
    fun hold(
        taskId: TaskId,
        limit: Resources,
        now: Timestamp,
    ): Reservation? {
        val mayReserve = reservations.size < maxOf(1, slots.all.size / HOSTS_PER_RESERVATION)
        val slot =
            slots.all
                .takeIf { mayReserve }
                .orEmpty()
                .filter { it.isOpen && limit.fitsIn(it.usable - it.reserved) }
                .minByOrNull { dominantShare(limit - it.unreserved, it.capacity) } ?: return null
        return Reservation(taskId, slot.host, limit, emptySet(), now.plusMillis(HOLDING_MILLIS))
            .also(reservations::add)
    }

    private fun reservedSlot(
        reservation: Reservation,
        limit: Resources,
    ): HostSlot? {
        val slot = slots[reservation.host]?.takeIf { it.isOpen } ?: return null
        return slot.takeIf { limit.fitsIn(it.unreserved + reservation.limit) }
    }

    private fun candidates(
        index: HostIndex,
        limit: Resources,
    ): List<HostSlot> {
        val found = LinkedHashSet<Int>()
        repeat(times = CANDIDATES) {
            val start = random.nextInt(slots.positions)
            found += index.find(limit, start) ?: return emptyList()
        }
        return found.map { slots[it] }
    }

    /** Tasks of [slot] to evict, those of the lowest priority and the shortest attempt first. */
    private fun victims(
        slot: HostSlot,
        limit: Resources,
    ): List<RunningTask> {
        var free = slot.unreserved
        return slot.tasks
            .filter { it.mayMakeRoom }
            .sortedWith(compareByDescending<RunningTask> { it.priority }.thenByDescending { it.attemptToken })
            .takeWhile { task ->
                val isNeeded = !limit.fitsIn(free)
                if (isNeeded) free += task.limit
                isNeeded
            }
    }

    private class EvictionPlan(
        val slot: HostSlot,
        val victims: List<RunningTask>,
    ) {
        /** Processor time that would have to be placed anew. */
        val cost: Long = victims.sumOf { it.limit.milliCores }
    }
}

/** Hosts that are scored for a task. With 8 drawn at random the best is in the best quarter in 9 of 10 cases. */
private const val CANDIDATES = 8

/** Limits that found no room in the round; what needs at least as much is not searched for again. */
private const val MISSES_REMEMBERED = 32

/** A command waits up to 1 s for a grant and the worker needs time to checkpoint; then another host is tried. */
private const val CLEARING_MILLIS = 2_000L
private const val HOLDING_MILLIS = 600_000L
private const val HOSTS_PER_RESERVATION = 10
