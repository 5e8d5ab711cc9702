/*
 * How much processor time a host has left for tasks that only use what others leave. Serving tasks reserve for their
 * peak and use less, so the reservation says little; what the tasks that use it get shows whether there is more.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Estimate for one host, in thousandths of a core. */
public class SpareCapacity {
    private var estimate: Double? = null

    /** What is thought to be left on a host with [capacity] on which [runs] are. */
    public fun milliCores(
        capacity: Long,
        runs: Collection<HeldRun>,
    ): Long = (estimate ?: expected(capacity, runs)).toLong().coerceIn(0, capacity)

    /**
     * Learns from what [runs] have got. Many tasks use less than they ask for, so a host is short of processor time
     * only if none of them gets what it asks for.
     */
    internal fun learn(
        capacity: Long,
        runs: Collection<HeldRun>,
        now: Timestamp,
    ) {
        val users = runs.filter { it.usesSpareProcessor }
        val bound = expected(capacity, runs)
        val known = (estimate ?: bound).let { it + (bound - it) * FORGETTING }
        val best = users.filter { isMeasuredAtFullPace(it, now) }.maxOfOrNull(::gotShare)
        val wanted = users.sumOf { it.pacedMilliCores }
        val got = users.sumOf { it.lastStatus?.measurement?.coerceAtLeast(0) ?: 0 }
        estimate =
            when {
                best == null -> known
                best < SATURATED -> known + (got - known) * LEARNING
                else -> maxOf(known, wanted * HEADROOM)
            }.coerceIn(0.0, capacity.toDouble())
    }

    private fun gotShare(held: HeldRun): Double =
        (held.lastStatus?.measurement ?: 0).toDouble() /
            held.entry.step.demand.milliCores
                .coerceAtLeast(1)

    /** True if the last measurement covers only work at full pace. */
    private fun isMeasuredAtFullPace(
        held: HeldRun,
        now: Timestamp,
    ): Boolean =
        held.lastStatus != null &&
            held.speedPercent == HeldRun.FULL_SPEED_PERCENT &&
            held.isMeasured(now)

    private fun expected(
        capacity: Long,
        runs: Collection<HeldRun>,
    ): Double {
        val (serving, plain) =
            runs
                .filter { !it.usesSpareProcessor }
                .partition { it.isServing }
        val used =
            plain.sumOf { it.entry.step.demand.milliCores } +
                serving.sumOf { it.entry.step.demand.milliCores } * SERVING_USE
        return (capacity - used).coerceAtLeast(0.0)
    }

    private companion object {
        /** Services are sized for peaks of about twice their usual load. */
        private const val SERVING_USE = 0.5

        /** Tasks were seen to use two thirds of what they ask for; below that they are short of processor time. */
        private const val SATURATED = 0.6

        /** A measurement covers half a second, so that three of them replace what was known. */
        private const val LEARNING = 0.4
        private const val FORGETTING = 0.1

        /** Room for one more task while all get what they want. */
        private const val HEADROOM = 1.3
    }
}
