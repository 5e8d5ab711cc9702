/*
 * Compares hosts for one task by their free capacity, the tasks that run there, the location of the data, and earlier
 * failures and slowness of the host.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp

/** A host on which tasks may be placed, with the capacity that is left during one round of placement. */
internal class HostCandidate(
    val host: Host,
) {
    private var reserved = host.reserved()
    private var unconfirmedRuns = host.runs.values.count { !it.isConfirmed }

    /**
     * True if the host, on which tasks fail, may be tried with one more task: each run on it has been seen there, so
     * that a task that fails at its start is not followed by others.
     */
    val mayBeTried: Boolean
        get() = !isTried && host.runs.values.all { it.listedSince != null }

    private var isTried = false

    /** False while the host has as many starts to confirm as may be under way at a time. */
    val takesStarts: Boolean
        get() = unconfirmedRuns < UNCONFIRMED_RUNS_MAXIMUM

    /** Processor time that best-effort tasks on the host request, in thousandths of a core. */
    var spareDemandMilliCores: Long = host.spareDemandMilliCores()
        private set

    /** Processor time that is left for best-effort tasks, less the demand of other tasks placed in this round. */
    private var spareMilliCores = host.spareMilliCores()

    /** Largest reserved share of any of the host's resources, 0 to 1. */
    val reservedShare: Double
        get() = share(reserved, host.description.capacity)

    /**
     * Headroom below the latency setpoint of the host's serving tasks, by their image: a logarithm of a ratio, less
     * the effects of tasks that are not measured yet.
     */
    val latencyHeadroom = HashMap<String, Double>()

    /** Numbers of tasks of a step, of one occurrence of its job, that are on the host; counted when first needed. */
    private val siblings = HashMap<TaskKey, Int>()

    /**
     * Number of tasks of the step of [task] on the host. Runs that are being stopped count too, since they stay on the
     * host until their end is listed.
     */
    fun siblingsOf(task: TaskKey): Int =
        siblings.getOrPut(task.copy(index = 0)) {
            host.runs.keys.count { it.step == task.step && it.occurrence == task.occurrence && it.job == task.job }
        }

    fun addTask(task: JobTask) {
        val step = task.step
        siblings.computeIfPresent(task.key.copy(index = 0)) { _, count -> count + 1 }
        unconfirmedRuns += 1
        isTried = true
        reserved += step.reservation
        if (step.sharing.usesSpareProcessor) {
            spareDemandMilliCores += step.demand.milliCores
        } else {
            spareMilliCores -= step.demand.milliCores
        }
    }

    fun removeTask(task: JobTask) {
        val step = task.step
        siblings.computeIfPresent(task.key.copy(index = 0)) { _, count -> count - 1 }
        unconfirmedRuns -= 1
        reserved -= step.reservation
        if (step.sharing.usesSpareProcessor) {
            spareDemandMilliCores -= step.demand.milliCores
        } else {
            spareMilliCores += step.demand.milliCores
        }
    }

    fun fits(step: StepSpecification): Boolean = (reserved + step.reservation).fitsIn(host.description.capacity)

    /** Ratio of demand to spare processor time, with one more task of [step]. */
    fun spareLoadWith(step: StepSpecification): Double {
        val demand = spareDemandMilliCores + step.demand.milliCores
        return demand.toDouble() / spareMilliCores.coerceAtLeast(1)
    }

    /** Ratio of demand to spare processor time. */
    fun spareLoad(): Double = spareDemandMilliCores.toDouble() / spareMilliCores.coerceAtLeast(1)

    private fun share(
        part: Resources,
        whole: Resources,
    ): Double =
        maxOf(
            part.milliCores.toDouble() / whole.milliCores.coerceAtLeast(1),
            part.memoryMegabytes.toDouble() / whole.memoryMegabytes.coerceAtLeast(1),
        )

    private companion object {
        /** Bounds the commands, of up to 4,000 bytes each, that an agent holds in its heap of 64 MB. */
        private const val UNCONFIRMED_RUNS_MAXIMUM = 512
    }
}

/** Finds the best host for a task. */
internal class HostScoring(
    private val state: SchedulerState,
) {
    val constraints = HostConstraints(state)

    /** The hosts on which tasks may be placed at [moment], with their free capacity. */
    fun candidates(moment: Moment): List<HostCandidate> =
        state.hosts
            .all()
            .filter { state.mayPlaceOn(it, moment) }
            .map { candidateOf(it, moment.now) }

    /** The hosts that are avoided because tasks fail there, but could start a task at [moment]. */
    fun avoidedCandidates(moment: Moment): List<HostCandidate> =
        state.hosts
            .all()
            .filter { state.mayTryOn(it, moment) }
            .map { candidateOf(it, moment.now) }

    /** Free capacity of [host], less the effects of tasks that were placed too recently to be measured. */
    private fun candidateOf(
        host: Host,
        now: Timestamp,
    ): HostCandidate {
        val candidate = HostCandidate(host)
        candidate.latencyHeadroom += state.interference.latencyExcesses(host).mapValues { (_, excess) -> -excess }
        host.bestEffortRuns().filterNot { it.isMeasured(now) }.forEach { reduceHeadroom(it.task.step, candidate) }
        return candidate
    }

    /** Counts [task] as placed on [candidate]. */
    fun addTask(
        task: JobTask,
        candidate: HostCandidate,
    ) {
        candidate.addTask(task)
        if (task.step.sharing.usesSpareProcessor) reduceHeadroom(task.step, candidate)
    }

    private fun reduceHeadroom(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Unit =
        candidate.latencyHeadroom.replaceAll { service, headroom ->
            headroom - constraints.effect(step, candidate, service)
        }

    /** The candidate with the lowest score on which [task], one of [siblings], may be placed, or null. */
    fun best(
        task: JobTask,
        siblings: List<JobTask>,
        candidates: List<HostCandidate>,
        now: Timestamp,
        isStarved: Boolean = false,
    ): HostCandidate? =
        candidates
            .filter { state.trials.allow(task, it.host) && constraints.isFeasible(task, it, isStarved) }
            .minByOrNull {
                score(task, siblings, it) + slownessCost(it.host, now) + state.trials.cost(task, it.host)
            }

    private fun score(
        task: JobTask,
        siblings: List<JobTask>,
        candidate: HostCandidate,
    ): Double {
        val step = task.step
        val description = candidate.host.description
        // Serving tasks are packed together, so that fewer hosts mix them with tasks that slow them.
        val load = if (step.sharing.isServing) -candidate.reservedShare else candidate.reservedShare
        var score = load + interferenceCost(step, candidate)
        if (step.constraints.dataRack != null &&
            step.constraints.dataRack != description.rack
        ) {
            score += REMOTE_DATA_COST
        }
        if (step.constraints.prefersOneRack) score += rackCost(siblings, candidate)
        if (task.failedOn?.host == description.incarnation.host) score += FAILED_HERE_COST
        return score + FAILURE_COST * state.reliability.failuresOf(description.incarnation)
    }

    private fun slownessCost(
        host: Host,
        now: Timestamp,
    ): Double = if (host.speed.isSlow(now)) SLOWNESS_COST * host.speed.slowness(now) else 0.0

    private fun interferenceCost(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Double =
        when {
            step.sharing.usesSpareProcessor ->
                candidate.spareLoadWith(step) + INTERFERENCE_WEIGHT * constraints.worstEffect(step, candidate)
            step.sharing.isServing -> INTERFERENCE_WEIGHT * candidate.spareLoad()
            else -> 0.0
        }

    private fun rackCost(
        siblings: List<JobTask>,
        candidate: HostCandidate,
    ): Double {
        val racks = siblings.mapNotNull { it.placedOn }.mapNotNull { state.hosts[it]?.description?.rack }
        return if (racks.isEmpty() || candidate.host.description.rack in racks) 0.0 else REMOTE_DATA_COST
    }

    private companion object {
        /** A task far from its data takes about half as long again, which outweighs any difference in load. */
        private const val REMOTE_DATA_COST = 2.0

        /** Best-effort tasks slow serving tasks, so they share a host only if there is no other free capacity. */
        private const val INTERFERENCE_WEIGHT = 1.5

        /** The host on which a task failed is chosen only if there is no other. */
        private const val FAILED_HERE_COST = 10.0

        /** A slow host is chosen only if the others are full. */
        private const val SLOWNESS_COST = 2.0

        /** One unexplained failure outweighs an evenly spread load. */
        private const val FAILURE_COST = 1.0
    }
}
