/*
 * Moving estimate of a latency. Samples weigh by the time since the last one, so that the estimate follows a change
 * equally fast at any rate of requests.
 */
package org.greengagepass.core.request

import org.greengagepass.core.Timestamp
import kotlin.math.exp

/** Estimate of the latency of an upstream or a failure domain. Not safe for use by several threads at once. */
public class LatencyEstimate {
    private var millis: Double = 0.0
    private var measuredAt: Timestamp? = null

    /** Number of samples since the estimate was last without a value. */
    public var samples: Int = 0
        private set

    /** Takes a sample that was measured at [now]. */
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

    /** The estimate at [now] in milliseconds, or null if nothing was measured of late. */
    public fun valueAt(now: Timestamp): Double? = measuredAt?.takeIf { isValid(it, now) }?.let { millis }

    private fun isValid(
        measured: Timestamp,
        now: Timestamp,
    ): Boolean = now.millisSince(measured) < VALID_MILLIS

    public companion object {
        /** Time in which an estimate covers 63% of a step. */
        public const val TIME_CONSTANT_MILLIS: Double = 2_000.0

        /** An estimate without samples for this long is dropped, so that whatever was avoided is tried again. */
        public const val VALID_MILLIS: Long = 10_000

        /** Least time that a sample counts for, so that samples within one millisecond have weight. */
        private const val MINIMUM_STEP_MILLIS = 1L
    }
}
