/*
 * Estimates the resource usage and the run time of each kind of work. Declared sizes may be far too small or too large,
 * so a limit starts at the larger of the declared size and the estimated 95th percentile, and doubles after a task
 * exceeded it, up to the size of the largest host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.WorkKind
import kotlin.math.ceil

/** The limit of a task. */
public sealed class LimitDecision {
    /** The task can run under [limit]. */
    public data class Limit(
        val limit: Resources,
    ) : LimitDecision()

    /** The task needs [need], which exceeds the largest host. */
    public data class ExceedsEveryHost(
        val need: Resources,
    ) : LimitDecision()
}

/** Usage and run times by kind, from the newest attempts of each. */
public class SizeEstimator {
    private val usages = HashMap<WorkKind, RecentSamples<Resources>>()
    private val runTimes = HashMap<WorkKind, RecentSamples<Long>>()

    /** Adds an ended attempt of [kind] with [peakUsage]; [runMillis] is null if it did not finish its task. */
    public fun observe(
        kind: WorkKind,
        peakUsage: Resources,
        runMillis: Long?,
    ) {
        usages.getOrPut(kind) { RecentSamples() }.add(peakUsage)
        runMillis?.let { runTimes.getOrPut(kind) { RecentSamples() }.add(it) }
    }

    /** 95th percentile of the usage of each kind of resource; null while too few attempts were observed. */
    public fun usageOf(kind: WorkKind): Resources? {
        val samples = usages[kind]?.takeIf { it.size >= SAMPLES_MINIMUM } ?: return null
        return Resources(
            milliCores = samples.percentile95 { it.milliCores },
            memoryMegabytes = samples.percentile95 { it.memoryMegabytes },
            accelerators = samples.percentile95 { it.accelerators.toLong() }.toInt(),
        )
    }

    /** 95th percentile of run time in milliseconds; null while too few attempts were observed. */
    public fun runMillisOf(kind: WorkKind): Long? =
        runTimes[kind]?.takeIf { it.size >= SAMPLES_MINIMUM }?.percentile95 { it }

    /**
     * Limit for a task of [kind]. [exceeded] is the limit that its last attempt exceeded, if it did. [largestHost] is
     * the largest capacity of a host for tasks, separately for each kind of resource.
     */
    public fun limitFor(
        kind: WorkKind,
        declared: Resources,
        exceeded: Resources?,
        largestHost: Resources,
    ): LimitDecision {
        val estimated = usageOf(kind)
        val start = startingLimit(declared, estimated, largestHost)
        val raised = exceeded?.let { larger(start, smaller(doubled(it), largestHost)) } ?: start
        val cannotGrow = exceeded != null && raised.fitsIn(exceeded)
        return when {
            cannotGrow -> LimitDecision.ExceedsEveryHost(doubled(raised))
            raised.fitsIn(largestHost) -> LimitDecision.Limit(raised)
            else -> LimitDecision.ExceedsEveryHost(raised)
        }
    }

    /** A declared size that fits on no host is capped if there is an estimate; the kind could not run otherwise. */
    private fun startingLimit(
        declared: Resources,
        estimated: Resources?,
        largestHost: Resources,
    ): Resources =
        when {
            estimated == null -> declared
            declared.fitsIn(largestHost) -> larger(declared, estimated)
            else -> larger(estimated, smaller(declared, largestHost))
        }

    public companion object {
        /** Attempts needed for an estimate; fewer are not sufficient for a 95th percentile. */
        public const val SAMPLES_MINIMUM: Int = 8
    }
}

private const val SAMPLES_KEPT = 64
private const val PERCENTILE = 0.95

/** The newest samples of one kind. */
private class RecentSamples<T> {
    private val samples = ArrayDeque<T>()

    val size: Int
        get() = samples.size

    fun add(sample: T) {
        if (samples.size == SAMPLES_KEPT) samples.removeFirst()
        samples.addLast(sample)
    }

    fun percentile95(part: (T) -> Long): Long {
        val sorted = samples.map(part).sorted()
        return sorted[ceil(sorted.size * PERCENTILE).toInt() - 1]
    }
}

internal fun larger(
    first: Resources,
    second: Resources,
): Resources =
    Resources(
        milliCores = maxOf(first.milliCores, second.milliCores),
        memoryMegabytes = maxOf(first.memoryMegabytes, second.memoryMegabytes),
        accelerators = maxOf(first.accelerators, second.accelerators),
    )

private fun smaller(
    first: Resources,
    second: Resources,
): Resources =
    Resources(
        milliCores = minOf(first.milliCores, second.milliCores),
        memoryMegabytes = minOf(first.memoryMegabytes, second.memoryMegabytes),
        accelerators = minOf(first.accelerators, second.accelerators),
    )

private fun doubled(resources: Resources): Resources = resources + resources
