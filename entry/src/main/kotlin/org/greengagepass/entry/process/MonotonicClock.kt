/*
 * The process's monotonic clock, behind an interface so that tests can set it.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.Timestamp

/** Reads a monotonic clock. */
public fun interface MonotonicClock {
    /** The current reading. */
    public fun now(): Timestamp

    public companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** The clock of this process. */
        public val SYSTEM: MonotonicClock = MonotonicClock { Timestamp(System.nanoTime() / NANOS_PER_MILLI) }
    }
}
