/*
 * Learns what each kind of work uses and how long it runs. Declared sizes may be far off in both directions, so a
 * limit starts at the larger of the declared size and the learnt 95th percentile, and doubles after a task ran into
 * it, up to the size of the largest host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.WorkKind
import kotlin.math.ceil

/** The limit that a task is to get. */
public sealed class LimitDecision {
    /** The task can run under [limit]. */
    public data class Limit(
        val limit: Resources,
    ) : LimitDecision()

    /** The task needs [need], more than the largest host holds. */
    public data class ExceedsEveryHost(
        val need: Resources,
    ) : LimitDecision()
}

/** Sizes and run times by kind, from the newest attempts of each. */
public class SizeEstimator {
    private val usages = HashMap<WorkKind, RecentSamples<Resources>>()
    private val runTimes = HashMap<WorkKind, RecentSamples<Long>>()

    /** An attempt of [kind] that ended used at most [peakUsage]; [runMillis] is null if it did not finish its task. */
    public fun observe(
        kind: WorkKind,
        peakUsage: Resources,
        runMillis: Long?,
    ) {
        usages.getOrPut(kind) { RecentSamples() }.add(peakUsage)
        runMillis?.let { runTimes.getOrPut(kind) { RecentSamples() }.add(it) }
    }

    /** 95th percentile of usage, part by part; null while too few attempts were seen. */
    public fun usageOf(kind: WorkKind): Resources? {
        val samples = usages[kind]?.takeIf { it.size >= SAMPLES_MINIMUM } ?: return null
        return Resources(
            milliCores = samples.percentile95 { it.milliCores },
            memoryMegabytes = samples.percentile95 { it.memoryMegabytes },
            accelerators = samples.percentile95 { it.accelerators.toLong() }.toInt(),
        )
    }

    /** 95th percentile of run time in milliseconds; null while too few attempts were seen. */
    public fun runMillisOf(kind: WorkKind): Long? =
        runTimes[kind]?.takeIf { it.size >= SAMPLES_MINIMUM }?.percentile95 { it }

    /**
     * Limit for a task of [kind]. [exceeded] is the limit that its last attempt ran into, if it did. [largestHost]
     * is what an empty host has for tasks, part by part the largest of all hosts.
     */
    public fun limitFor(
        kind: WorkKind,
        declared: Resources,
        exceeded: Resources?,
        largestHost: Resources,
    ): LimitDecision {
        val learnt = usageOf(kind)
        val start = startingLimit(declared, learnt, largestHost)
        val raised = exceeded?.let { larger(start, smaller(doubled(it), largestHost)) } ?: start
        val cannotGrow = exceeded != null && raised.fitsIn(exceeded)
        return when {
            cannotGrow -> LimitDecision.ExceedsEveryHost(doubled(raised))
            raised.fitsIn(largestHost) -> LimitDecision.Limit(raised)
            else -> LimitDecision.ExceedsEveryHost(raised)
        }
    }

    /** A declared size that no host holds gives way to the learnt one; without it the kind could never run. */
    private fun startingLimit(
        declared: Resources,
        learnt: Resources?,
        largestHost: Resources,
    ): Resources =
        when {
            learnt == null -> declared
            declared.fitsIn(largestHost) -> larger(declared, learnt)
            else -> larger(learnt, smaller(declared, largestHost))
        }

    public companion object {
        /** Attempts after which the learnt size counts; fewer say little about a 95th percentile. */
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
