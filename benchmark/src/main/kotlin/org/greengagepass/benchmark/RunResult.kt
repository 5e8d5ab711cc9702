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
    private val work = HashMap<Long, Double>()
    private val allowed = HashMap<Long, Double>()

    /** Tasks that ended with their work done. */
    public var finishedTasks: Int = 0

    /** Tasks that the colocation control evicted. */
    public var evictions: Int = 0

    /** Throttles by the colocation control. */
    public var throttles: Int = 0

    /** Starts that a host refused. */
    public var refusedStarts: Int = 0

    /** Adds batch work done from [nowMillis] on, in core milliseconds. */
    public fun addWork(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        work.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Adds the work that the hosts in service would allow. */
    public fun addAllowedWork(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        allowed.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Batch work of the whole run in core hours. */
    public val coreHours: Double
        get() = work.values.sum() / MILLIS_PER_HOUR

    /** Work done from [fromMillis] until [untilMillis] relative to what the hosts in service allowed. */
    public fun doneOfAllowed(
        fromMillis: Long,
        untilMillis: Long,
    ): Double {
        val buckets = fromMillis / BUCKET_MILLIS until untilMillis / BUCKET_MILLIS
        return buckets.sumOf { work[it] ?: 0.0 } / buckets.sumOf { allowed[it] ?: 0.0 }
    }

    /** Latency percentile in milliseconds. */
    public fun percentileMillis(percentile: Double): Double =
        latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI
}

private const val BUCKET_MILLIS = 1_000L
private const val MILLIS_PER_HOUR = 3_600_000.0
private const val MICROS_PER_MILLI = 1_000.0
