/*
 * The monotonic clock of a process.
 */
package org.greengagepass.standins.process

import org.greengagepass.core.Timestamp

private const val NANOS_PER_MILLI = 1_000_000L

/** A monotonic clock that shows [offsetMillis] now, so that no two stand-ins agree on the time. */
public fun monotonicClock(offsetMillis: Long): () -> Timestamp {
    val startedAtNanos = System.nanoTime()
    return { Timestamp(offsetMillis + (System.nanoTime() - startedAtNanos) / NANOS_PER_MILLI) }
}
