/*
 * Detection of upstreams that fail or are far slower than the others of their service.
 */
package org.greengagepass.core.request

import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp

/**
 * Temporarily ejects upstreams of one service, at most a third of them at a time. Not safe for use by several threads
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

    /** Records the end of an attempt at [host]. The service has [upstreamCount] upstreams. */
    public fun ended(
        host: HostId,
        failed: Boolean,
        upstreamCount: Int,
        now: Timestamp,
    ) {
        val count = if (failed) (failures[host] ?: 0) + 1 else 0
        failures[host] = count
        if (count >= CONSECUTIVE_FAILURES) {
            eject(host, upstreamCount, now)
        } else if (!failed && !isEjected(host, now)) {
            ejections.remove(host)
        }
    }

    /**
     * Ejects the upstreams whose latency is far above the median of [latencies]. The service has [upstreamCount]
     * upstreams in all.
     */
    public fun ejectSlow(
        latencies: Map<HostId, Double>,
        upstreamCount: Int,
        now: Timestamp,
    ) {
        if (latencies.size < COMPARED_UPSTREAMS_MINIMUM) {
            return
        }
        val median = latencies.values.sorted()[latencies.size / 2]
        val limit = median * SLOW_FACTOR + SLOW_EXTRA_MILLIS
        latencies.entries
            .filter { it.value > limit }
            .sortedWith(compareByDescending<Map.Entry<HostId, Double>> { it.value }.thenBy { it.key.value })
            .forEach { eject(it.key, upstreamCount, now) }
    }

    /** Removes the state of [host], which no longer offers the service. */
    public fun remove(host: HostId) {
        failures.remove(host)
        ejections.remove(host)
    }

    private fun eject(
        host: HostId,
        upstreamCount: Int,
        now: Timestamp,
    ) {
        if (isEjected(host, now) || (ejectedCount(now) + 1) * UPSTREAMS_PER_EJECTION > upstreamCount) {
            return
        }
        val count = minOf((ejections[host]?.count ?: 0) + 1, EJECTION_COUNT_MAXIMUM)
        ejections[host] = Ejection(until = now.plusMillis(EJECTION_MILLIS * count), count = count)
        failures[host] = 0
    }

    private data class Ejection(
        val until: Timestamp,
        val count: Int,
    )

    public companion object {
        /** Number of consecutive failures after which an upstream is ejected. */
        public const val CONSECUTIVE_FAILURES: Int = 5

        /** At most one upstream in this many is ejected. */
        public const val UPSTREAMS_PER_EJECTION: Int = 3

        /** Length of the first ejection of an upstream. Each further ejection is longer by the same amount. */
        public const val EJECTION_MILLIS: Long = 10_000

        private const val EJECTION_COUNT_MAXIMUM = 6

        /** The median of fewer upstreams is not meaningful. */
        private const val COMPARED_UPSTREAMS_MINIMUM = 4
        private const val SLOW_FACTOR = 3.0

        /** Differences of a few milliseconds are noise, however large their ratio. */
        private const val SLOW_EXTRA_MILLIS = 10.0
    }
}
