/*
 * How much longer than estimated tasks take on a host. Estimates are rough, so only a host that is slower by far than
 * their error counts as slow; what is known of a host loses weight with time, so that it is tried again.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp
import kotlin.math.exp

/** Slowness of one host. */
public class HostSpeed {
    private var slowness = 1.0
    private var learntAt = Timestamp(0)

    /** Time that tasks take over their estimate, 1 for a host of which nothing is known. */
    public fun slowness(now: Timestamp): Double {
        val age = now.millisSince(learntAt).coerceAtLeast(0)
        return 1.0 + (slowness - 1.0) * exp(-age / FORGETTING_MILLIS)
    }

    /** True if tasks take far longer on the host than their estimates explain. */
    public fun isSlow(now: Timestamp): Boolean = slowness(now) >= SLOW

    /** A run has taken [elapsedMillis] and has ended, or has not ended yet. */
    internal fun learn(
        elapsedMillis: Long,
        estimatedMillis: Long,
        hasEnded: Boolean,
        now: Timestamp,
    ) {
        if (estimatedMillis <= 0) return
        val ratio = (elapsedMillis - START_MILLIS).coerceAtLeast(0).toDouble() / estimatedMillis
        val known = slowness(now)
        // A run that goes on says only that it takes at least this long.
        if (!hasEnded && ratio <= known) return
        slowness = known + (ratio.coerceAtMost(RATIO_MAXIMUM) - known) * if (hasEnded) LEARNING else LEARNING_FROM_OPEN
        learntAt = now
    }

    private companion object {
        /** Estimates are off by half, and tasks of a step differ by a third. */
        private const val SLOW = 2.8

        /** Starting and reporting a task takes some tens of milliseconds, which is much for a short one. */
        private const val START_MILLIS = 100L
        private const val RATIO_MAXIMUM = 6.0
        private const val LEARNING = 0.25

        /** Learnt from again with every report of the run, twice a second or more. */
        private const val LEARNING_FROM_OPEN = 0.05

        /** Disturbances last some seconds. */
        private const val FORGETTING_MILLIS = 5_000.0
    }
}
