/*
 * Compares hosts for one task: what is free, who else is there, where the data is, and what the host did before.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp

/** What is left of a host during one round. */
internal class HostRoom(
    val host: Host,
) {
    private var reserved = host.reserved()

    /** Processor time that tasks which use what others leave ask for on the host. */
    var spareDemandMilliCores: Long = host.spareDemandMilliCores()
        private set

    /** Processor time that is left for them, less what was placed in this round. */
    private var spareMilliCores = host.spareMilliCores()

    /** The largest reserved share of the host's resources, 0 to 1. */
    val reservedShare: Double
        get() = share(reserved, host.description.capacity)

    /** Room for effects on the serving tasks of the host by their image, less what is not measured yet. */
    val interferenceRooms = HashMap<String, Double>()

    fun take(step: StepSpecification) {
        reserved += step.reservation
        if (step.sharing.usesSpareProcessor) {
            spareDemandMilliCores += step.demand.milliCores
        } else {
            spareMilliCores -= step.demand.milliCores
        }
    }

    fun giveBack(step: StepSpecification) {
        reserved -= step.reservation
        if (step.sharing.usesSpareProcessor) {
            spareDemandMilliCores -= step.demand.milliCores
        } else {
            spareMilliCores += step.demand.milliCores
        }
    }

    fun fits(step: StepSpecification): Boolean = (reserved + step.reservation).fitsIn(host.description.capacity)

    /** Demand for spare processor time over what is spare, with one more task of [step]. */
    fun spareLoadWith(step: StepSpecification): Double {
        val demand = spareDemandMilliCores + step.demand.milliCores
        return demand.toDouble() / spareMilliCores.coerceAtLeast(1)
    }

    /** Demand for spare processor time over what is spare. */
    fun spareLoad(): Double = spareDemandMilliCores.toDouble() / spareMilliCores.coerceAtLeast(1)

    private fun share(
        part: Resources,
        whole: Resources,
    ): Double =
        maxOf(
            part.milliCores.toDouble() / whole.milliCores.coerceAtLeast(1),
            part.memoryMegabytes.toDouble() / whole.memoryMegabytes.coerceAtLeast(1),
        )
}

/** Finds the best host for a task. */
internal class HostScoring(
    private val state: SchedulerState,
) {
    private val constraints = HostConstraints(state)

    /** What is left of the hosts that may get tasks at [moment]. */
    fun rooms(moment: Moment): List<HostRoom> =
        state.hosts
            .all()
            .filter { state.mayPlaceOn(it, moment) }
            .map { roomOf(it, moment.now) }

    /** What is left of [host], with the effect of tasks that have been placed too recently to be measured. */
    private fun roomOf(
        host: Host,
        now: Timestamp,
    ): HostRoom {
        val room = HostRoom(host)
        room.interferenceRooms += state.interference.excesses(host).mapValues { (_, excess) -> -excess }
        host.spareUsers().filterNot { it.isMeasured(now) }.forEach { takeInterferenceRoom(it.entry.step, room) }
        return room
    }

    /** [room] takes a task of [step]. */
    fun take(
        step: StepSpecification,
        room: HostRoom,
    ) {
        room.take(step)
        if (step.sharing.usesSpareProcessor) takeInterferenceRoom(step, room)
    }

    private fun takeInterferenceRoom(
        step: StepSpecification,
        room: HostRoom,
    ): Unit = room.interferenceRooms.replaceAll { service, left -> left - constraints.effect(step, room, service) }

    /** The host with the lowest score that may take [entry], one of [siblings], or null. */
    fun best(
        entry: JobTask,
        siblings: List<JobTask>,
        pool: List<HostRoom>,
        now: Timestamp,
        isStarved: Boolean = false,
    ): HostRoom? =
        pool
            .filter { constraints.mayTake(entry, siblings, it, isStarved) }
            .minByOrNull { score(entry, siblings, it) + slownessCost(it.host, now) }

    private fun score(
        entry: JobTask,
        siblings: List<JobTask>,
        room: HostRoom,
    ): Double {
        val step = entry.step
        val description = room.host.description
        // Serving tasks go where others of their kind are, so that fewer hosts mix them with tasks that disturb them.
        val load = if (step.sharing.isServing) -room.reservedShare else room.reservedShare
        var score = load + neighbourCost(step, room)
        if (step.constraints.dataRack != null &&
            step.constraints.dataRack != description.rack
        ) {
            score += REMOTE_DATA_COST
        }
        if (step.constraints.prefersOneRack) score += rackCost(siblings, room)
        if (entry.failedOn?.host == description.incarnation.host) score += FAILED_HERE_COST
        return score + FAILURE_COST * state.reliability.failuresOf(description.incarnation)
    }

    private fun slownessCost(
        host: Host,
        now: Timestamp,
    ): Double = if (host.speed.isSlow(now)) SLOWNESS_COST * host.speed.slowness(now) else 0.0

    private fun neighbourCost(
        step: StepSpecification,
        room: HostRoom,
    ): Double =
        when {
            step.sharing.usesSpareProcessor ->
                room.spareLoadWith(step) + SERVING_NEIGHBOUR_COST * constraints.worstEffect(step, room)
            step.sharing.isServing -> SERVING_NEIGHBOUR_COST * room.spareLoad()
            else -> 0.0
        }

    private fun rackCost(
        siblings: List<JobTask>,
        room: HostRoom,
    ): Double {
        val racks = siblings.mapNotNull { it.placedOn }.mapNotNull { state.hosts[it]?.description?.rack }
        return if (racks.isEmpty() || room.host.description.rack in racks) 0.0 else REMOTE_DATA_COST
    }

    private companion object {
        /** A remote task takes about half as long again, which is worse than any difference in load. */
        private const val REMOTE_DATA_COST = 2.0

        /** Tasks that fill spare processor time slow down serving tasks, so they meet only without other room. */
        private const val SERVING_NEIGHBOUR_COST = 1.5

        /** The host on which a task failed is taken only if there is no other. */
        private const val FAILED_HERE_COST = 10.0

        /** A slow host is taken only if the others are full. */
        private const val SLOWNESS_COST = 2.0

        /** One unexplained failure outweighs an even load. */
        private const val FAILURE_COST = 1.0
    }
}
