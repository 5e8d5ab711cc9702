/*
 * Detection of upstreams that fail or are far slower than the others of their service.
 */
package org.greengagepass.core.request

import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp

/**
 * Ejects upstreams of one service for a while, never more than a third of them. Not safe for use by several threads
 * at once.
 */
public class OutlierDetector {
    private val failures = HashMap<HostId, Int>()
    private val ejections = HashMap<HostId, Ejection>()

    /** True if [host] is ejected at [now]. */
    public fun isEjected(
        host: HostId,
        now: Timestamp,
    ): Boolean = ejections[host]?.let { now < it.until } ?: false

    /** Number of upstreams that are ejected at [now]. */
    public fun ejectedCount(now: Timestamp): Int = ejections.values.count { now < it.until }

    /** An attempt at [host] has ended; [known] upstreams of the service are known. */
    public fun ended(
        host: HostId,
        failed: Boolean,
        known: Int,
        now: Timestamp,
    ) {
        val count = if (failed) (failures[host] ?: 0) + 1 else 0
        failures[host] = count
        if (count >= FAILURES_IN_A_ROW) {
            eject(host, known, now)
        } else if (!failed && !isEjected(host, now)) {
            ejections.remove(host)
        }
    }

    /** Ejects the upstreams whose latency is far above the median of [latencies]; [known] upstreams are known. */
    public fun compare(
        latencies: Map<HostId, Double>,
        known: Int,
        now: Timestamp,
    ) {
        if (latencies.size < COMPARED_MINIMUM) {
            return
        }
        val median = latencies.values.sorted()[latencies.size / 2]
        val limit = median * SLOW_FACTOR + SLOW_EXTRA_MILLIS
        latencies.entries
            .filter { it.value > limit }
            .sortedWith(compareByDescending<Map.Entry<HostId, Double>> { it.value }.thenBy { it.key.value })
            .forEach { eject(it.key, known, now) }
    }

    /** Forgets [host], which is no longer known. */
    public fun forget(host: HostId) {
        failures.remove(host)
        ejections.remove(host)
    }

    private fun eject(
        host: HostId,
        known: Int,
        now: Timestamp,
    ) {
        if (isEjected(host, now) || (ejectedCount(now) + 1) * EJECTED_SHARE > known) {
            return
        }
        val times = minOf((ejections[host]?.times ?: 0) + 1, EJECTION_TIMES_MAXIMUM)
        ejections[host] = Ejection(until = now.plusMillis(EJECTION_MILLIS * times), times = times)
        failures[host] = 0
    }

    private data class Ejection(
        val until: Timestamp,
        val times: Int,
    )

    public companion object {
        /** Failures in a row after which an upstream is ejected. */
        public const val FAILURES_IN_A_ROW: Int = 5

        /** At most one in this many upstreams is ejected. */
        public const val EJECTED_SHARE: Int = 3

        /** Length of a first ejection. Each further one is longer by as much. */
        public const val EJECTION_MILLIS: Long = 10_000

        private const val EJECTION_TIMES_MAXIMUM = 6

        /** Fewer upstreams have no meaningful median. */
        private const val COMPARED_MINIMUM = 4
        private const val SLOW_FACTOR = 3.0

        /** Differences of a few milliseconds are noise, however large their ratio. */
        private const val SLOW_EXTRA_MILLIS = 10.0
    }
}
