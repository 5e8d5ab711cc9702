/*
 * Estimates how much longer than expected tasks take on a host. Estimates of task durations are rough, so a host counts
 * as slow only if the ratio is far beyond their error. The ratio decays with time, so that a slow host is tried again.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp
import kotlin.math.exp

/** Slowness of one host: the ratio of actual to estimated duration of its tasks. */
public class HostSpeed {
    private var slowness = 1.0
    private var updatedAt = Timestamp(0)

    /** Ratio of the actual to the estimated duration of tasks; 1 for a host without observations. */
    public fun slowness(now: Timestamp): Double {
        val age = now.millisSince(updatedAt).coerceAtLeast(0)
        return 1.0 + (slowness - 1.0) * exp(-age / DECAY_MILLIS)
    }

    /** True if tasks take far longer on the host than the error of their estimates explains. */
    public fun isSlow(now: Timestamp): Boolean = slowness(now) >= SLOW_RATIO

    /** Updates the ratio from a run that took [elapsedMillis], or has run for that long if it has not ended. */
    internal fun update(
        elapsedMillis: Long,
        estimatedMillis: Long,
        hasEnded: Boolean,
        now: Timestamp,
    ) {
        if (estimatedMillis <= 0) return
        val ratio = (elapsedMillis - START_OVERHEAD_MILLIS).coerceAtLeast(0).toDouble() / estimatedMillis
        val previous = slowness(now)
        // The elapsed time of an unfinished run is only a lower bound of its duration.
        if (!hasEnded && ratio <= previous) return
        slowness =
            previous +
            (ratio.coerceAtMost(RATIO_MAXIMUM) - previous) * if (hasEnded) END_WEIGHT else UNFINISHED_WEIGHT
        updatedAt = now
    }

    private companion object {
        /** Estimates are wrong by up to half, and tasks of one step differ by a third. */
        private const val SLOW_RATIO = 2.8

        /** Starting and reporting a task takes some tens of milliseconds, which matters for a short task. */
        private const val START_OVERHEAD_MILLIS = 100L
        private const val RATIO_MAXIMUM = 6.0
        private const val END_WEIGHT = 0.25

        /** Smaller, since an unfinished run updates the ratio with each of its reports, twice a second or more. */
        private const val UNFINISHED_WEIGHT = 0.05

        /** Time constant of the decay; hosts are usually slow for some seconds only. */
        private const val DECAY_MILLIS = 5_000.0
    }
}
