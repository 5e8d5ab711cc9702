/*
 * Monotonic clocks with an arbitrary origin.
 */
package org.greengagepass.standins.process

import org.greengagepass.core.Timestamp

private const val NANOS_PER_MILLI = 1_000_000L

/** Returns a monotonic clock that starts at [offsetMillis], so that the clocks of different stand-ins differ. */
public fun monotonicClock(offsetMillis: Long): () -> Timestamp {
    val startedAtNanos = System.nanoTime()
    return { Timestamp(offsetMillis + (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI) }
}
