/*
 * Estimates the spare processor time of a host, which best-effort tasks may use. Serving tasks reserve for their peak
 * and use less, so reservations are a poor estimate; the processor time that best-effort tasks receive shows whether
 * there is more.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Estimate of the spare processor time of one host, in thousandths of a core. */
public class SpareCapacity {
    private var estimate: Double? = null

    /** Estimated spare processor time of a host with [capacity] and [runs]. */
    public fun milliCores(
        capacity: Long,
        runs: Collection<PlacedRun>,
    ): Long = (estimate ?: expectedMilliCores(capacity, runs)).toLong().coerceIn(0, capacity)

    /**
     * Updates the estimate from the processor time that [runs] received. Many tasks use less than they request, so the
     * host is short of processor time only if none of them receives what it requests.
     */
    internal fun update(
        capacity: Long,
        runs: Collection<PlacedRun>,
        now: Timestamp,
    ) {
        val bestEffortRuns = runs.filter { it.usesSpareProcessor }
        val expected = expectedMilliCores(capacity, runs)
        val previous = (estimate ?: expected).let { it + (expected - it) * DECAY_WEIGHT }
        val highestShare = bestEffortRuns.filter { isMeasuredAtFullSpeed(it, now) }.maxOfOrNull(::receivedShare)
        val requested = bestEffortRuns.sumOf { it.throttledMilliCores }
        val received = bestEffortRuns.sumOf { it.lastStatus?.measurement?.coerceAtLeast(0) ?: 0 }
        estimate =
            when {
                highestShare == null -> previous
                highestShare < SATURATION_SHARE -> previous + (received - previous) * UPDATE_WEIGHT
                else -> maxOf(previous, requested * DEMAND_MARGIN)
            }.coerceIn(0.0, capacity.toDouble())
    }

    private fun receivedShare(placed: PlacedRun): Double =
        (placed.lastStatus?.measurement ?: 0).toDouble() /
            placed.task.step.demand.milliCores
                .coerceAtLeast(1)

    /** True if the last measurement covers only work at full speed. */
    private fun isMeasuredAtFullSpeed(
        placed: PlacedRun,
        now: Timestamp,
    ): Boolean =
        placed.lastStatus != null &&
            placed.speedPercent == PlacedRun.FULL_SPEED_PERCENT &&
            placed.isMeasured(now)

    private fun expectedMilliCores(
        capacity: Long,
        runs: Collection<PlacedRun>,
    ): Double {
        val (serving, plain) =
            runs
                .filter { !it.usesSpareProcessor }
                .partition { it.isServing }
        val used =
            plain.sumOf { it.task.step.demand.milliCores } +
                serving.sumOf { it.task.step.demand.milliCores } * SERVING_UTILIZATION
        return (capacity - used).coerceAtLeast(0.0)
    }

    private companion object {
        /** Serving tasks are sized for peaks of about twice their usual load. */
        private const val SERVING_UTILIZATION = 0.5

        /** Tasks use about two thirds of the processor time that they request; with less they are short of it. */
        private const val SATURATION_SHARE = 0.6

        /** A measurement covers half a second; three of them largely replace the previous estimate. */
        private const val UPDATE_WEIGHT = 0.4
        private const val DECAY_WEIGHT = 0.1

        /** Leaves capacity for one more task while all tasks receive what they request. */
        private const val DEMAND_MARGIN = 1.3
    }
}
