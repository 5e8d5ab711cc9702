/*
 * Exponential moving average of a latency. A sample is weighted by the time since the previous one, so that the
 * average follows a change equally fast at any request rate.
 */
package org.greengagepass.core.request

import org.greengagepass.core.Timestamp
import kotlin.math.exp

/** Estimate of the latency of an upstream or a failure domain. Not safe for use by several threads at once. */
public class LatencyEstimate {
    private var millis: Double = 0.0
    private var measuredAt: Timestamp? = null

    /** Number of samples since the estimate last had no valid value. */
    public var samples: Int = 0
        private set

    /** Adds a sample that was measured at [now]. */
    public fun add(
        sampleMillis: Long,
        now: Timestamp,
    ) {
        val sample = maxOf(0L, sampleMillis).toDouble()
        val elapsedMillis =
            measuredAt
                ?.takeIf {
                    isValid(
                        it,
                        now,
                    )
                }?.let { maxOf(MINIMUM_STEP_MILLIS, now.millisSince(it)) }
        if (elapsedMillis == null) {
            millis = sample
            samples = 0
        } else {
            millis += (sample - millis) * (1 - exp(-elapsedMillis / TIME_CONSTANT_MILLIS))
        }
        samples++
        measuredAt = now
    }

    /** The estimate at [now] in milliseconds, or null if there is no recent sample. */
    public fun valueAt(now: Timestamp): Double? = measuredAt?.takeIf { isValid(it, now) }?.let { millis }

    private fun isValid(
        measured: Timestamp,
        now: Timestamp,
    ): Boolean = now.millisSince(measured) < VALID_MILLIS

    public companion object {
        /** Time after which the estimate has covered 63% of a step change. */
        public const val TIME_CONSTANT_MILLIS: Double = 2_000.0

        /**
         * An estimate is dropped after this time without a sample, so that an upstream that was avoided for its
         * latency is tried again.
         */
        public const val VALID_MILLIS: Long = 10_000

        /** Minimum time that a sample counts for, so that samples within the same millisecond have a weight. */
        private const val MINIMUM_STEP_MILLIS = 1L
    }
}
