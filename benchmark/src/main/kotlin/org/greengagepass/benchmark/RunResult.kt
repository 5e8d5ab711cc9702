/*
 * The measurements of a run.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram

/** Measurements of one run. */
public class RunResult(
    /** Latencies of quick requests in microseconds. */
    public val latencyMicros: Histogram,
) {
    private val usedByBucket = HashMap<Long, Double>()
    private val allocatedByBucket = HashMap<Long, Double>()
    private val attainableWork = HashMap<Long, Double>()
    private val limitCapacity = HashMap<Long, Double>()

    /** Tasks that completed their work. */
    public var finishedTasks: Int = 0

    /** Evictions by the colocation control. */
    public var evictions: Int = 0

    /** Throttles by the colocation control. */
    public var throttles: Int = 0

    /** Starts that a host refused. */
    public var refusedStarts: Int = 0

    /** Adds batch work done in the step that starts at [nowMillis]. */
    public fun addWork(
        nowMillis: Long,
        work: WorkDone,
    ) {
        usedByBucket.merge(nowMillis / BUCKET_MILLIS, work.used, Double::plus)
        allocatedByBucket.merge(nowMillis / BUCKET_MILLIS, work.allocated, Double::plus)
    }

    /** Adds the work that the hosts in service could do if all sizes were known exactly, in core milliseconds. */
    public fun addAttainableWork(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        attainableWork.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Adds the limits that fit in the capacity of the hosts in service, in core milliseconds. */
    public fun addLimitCapacity(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        limitCapacity.merge(nowMillis / BUCKET_MILLIS, coreMillis, Double::plus)
    }

    /** Batch work of the whole run in core hours. */
    public val coreHours: Double
        get() = usedByBucket.values.sum() / MILLIS_PER_HOUR

    /** Returns the work done from [fromMillis] until [untilMillis], relative to what exact sizes would allow. */
    public fun workOfAttainable(
        fromMillis: Long,
        untilMillis: Long,
    ): Double = ratio(usedByBucket, attainableWork, fromMillis, untilMillis)

    /** Returns the limits of the running tasks from [fromMillis] until [untilMillis], relative to the capacity. */
    public fun limitsOfCapacity(
        fromMillis: Long,
        untilMillis: Long,
    ): Double = ratio(allocatedByBucket, limitCapacity, fromMillis, untilMillis)

    private fun ratio(
        part: Map<Long, Double>,
        whole: Map<Long, Double>,
        fromMillis: Long,
        untilMillis: Long,
    ): Double {
        val buckets = fromMillis / BUCKET_MILLIS until untilMillis / BUCKET_MILLIS
        return buckets.sumOf { part[it] ?: 0.0 } / buckets.sumOf { whole[it] ?: 0.0 }
    }

    /** Returns a latency percentile in milliseconds. */
    public fun percentileMillis(percentile: Double): Double =
        latencyMicros.getValueAtPercentile(percentile) / MICROS_PER_MILLI
}

private const val BUCKET_MILLIS = 1_000L
private const val MILLIS_PER_HOUR = 3_600_000.0
private const val MICROS_PER_MILLI = 1_000.0
