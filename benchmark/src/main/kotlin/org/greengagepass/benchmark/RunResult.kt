/*
 * What a run measured.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram

/** Figures of one run. */
public class RunResult(
    /** Latencies of quick requests in microseconds. */
    public val latencyMicros: Histogram,
) {
    private val used = HashMap<Long, Double>()
    private val held = HashMap<Long, Double>()
    private val allowedWork = HashMap<Long, Double>()
    private val allowedLimits = HashMap<Long, Double>()

    /** Tasks that ended with their work done. */
    public var finishedTasks: Int = 0

    /** Tasks that the colocation control evicted. */
    public var evictions: Int = 0

    /** Throttles by the colocation control. */
    public var throttles: Int = 0

    /** Starts that a host refused. */
    public var refusedStarts: Int = 0

    /** Adds batch work done from [nowMillis] on. */
    public fun addWork(
        nowMillis: Long,
        work: WorkDone,
    ) {
        used.merge(nowMillis / BUCKET_MILLIS, work.used, Double::plus)
        held.merge(nowMillis / BUCKET_MILLIS, work.held, Double::plus)
    }

    /** Adds the work in core milliseconds that the hosts in service would allow with sizes known exactly. */
    public fun addAllowedWork(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        allowedWork.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Adds the limits that the hosts in service could hold, in core milliseconds. */
    public fun addAllowedLimits(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        allowedLimits.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Batch work of the whole run in core hours. */
    public val coreHours: Double
        get() = used.values.sum() / MILLIS_PER_HOUR

    /** Work done from [fromMillis] until [untilMillis] relative to what exact sizes would have allowed. */
    public fun doneOfAllowed(
        fromMillis: Long,
        untilMillis: Long,
    ): Double = ratio(used, allowedWork, fromMillis, untilMillis)

    /** The same relative to all capacity, in terms of the limits that the tasks held. */
    public fun heldOfAllowed(
        fromMillis: Long,
        untilMillis: Long,
    ): Double = ratio(held, allowedLimits, fromMillis, untilMillis)

    private fun ratio(
        part: Map<Long, Double>,
        whole: Map<Long, Double>,
        fromMillis: Long,
        untilMillis: Long,
    ): Double {
        val buckets = fromMillis / BUCKET_MILLIS until untilMillis / BUCKET_MILLIS
        return buckets.sumOf { part[it] ?: 0.0 } / buckets.sumOf { whole[it] ?: 0.0 }
    }

    /** Latency percentile in milliseconds. */
    public fun percentileMillis(percentile: Double): Double =
        latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI
}

private const val BUCKET_MILLIS = 1_000L
private const val MILLIS_PER_HOUR = 3_600_000.0
private const val MICROS_PER_MILLI = 1_000.0
