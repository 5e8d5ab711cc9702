/*
 * The failure domains that a router chooses from.
 */
package org.greengagepass.core.request

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp
import kotlin.random.Random

/** Expected latency of a service of which nothing was measured yet. */
private const val UNMEASURED_MILLIS = 50.0

/** Two ways between failure domains that are 5 ms apart; assumed of a domain that was not measured of late. */
private const val UNMEASURED_REMOTE_EXTRA_MILLIS = 10.0

/** Growth of the lowest latency seen with each sample, so that it follows a service that has become slower. */
private const val LOWEST_GROWTH = 1.001

internal class RouterDomains(
    private val own: FailureDomainName,
    private val subsetSize: Int,
) {
    private val pools = LinkedHashMap<FailureDomainName, UpstreamPool>()
    private var others: List<UpstreamPool> = emptyList()
    private var lowestMillis: Double? = null

    var out: Set<FailureDomainName> = emptySet()
        set(value) {
            field = value
            refreshOthers()
        }

    fun pools(): Collection<UpstreamPool> = pools.values

    /** True if upstreams are known that do not leave, all of them in failure domains that are out. */
    fun isEveryUpstreamOut(): Boolean {
        val occupied = pools.values.filterNot { it.isEmpty }
        return occupied.isNotEmpty() && occupied.all { it.failureDomain in out }
    }

    /** Adds [upstream] to its failure domain, or takes it out if it leaves. */
    fun place(upstream: Upstream) {
        if (upstream.report.isDraining) {
            remove(upstream)
            return
        }
        val name = upstream.report.failureDomain
        val pool = pools.getOrPut(name) { UpstreamPool(name, subsetSize) }
        val wasEmpty = pool.isEmpty
        pool.add(upstream)
        if (wasEmpty) {
            refreshOthers()
        }
    }

    fun remove(upstream: Upstream) {
        val pool = pools[upstream.report.failureDomain] ?: return
        pool.remove(upstream)
        if (pool.isEmpty) {
            refreshOthers()
        }
    }

    fun measured(
        upstream: Upstream,
        sampleMillis: Long,
        now: Timestamp,
    ) {
        val pool = pools[upstream.report.failureDomain] ?: return
        pool.latency.add(sampleMillis, now)
        val value = pool.latency.valueAt(now) ?: return
        lowestMillis = minOf(value, lowestMillis?.times(LOWEST_GROWTH) ?: value)
    }

    /**
     * The better of a candidate in the own failure domain and one in another, drawn at random. The own one wins
     * unless it is expected to take longer.
     */
    fun choose(
        random: Random,
        now: Timestamp,
        isUsable: (Upstream) -> Boolean,
    ): Candidate? {
        val home = pools[own]?.takeUnless { own in out }
        val local = home?.betterOfTwo(random, home.latency.valueAt(now) ?: lowest(), now, isUsable)
        val remote = remoteCandidate(random, now, isUsable)
        return when {
            local == null -> remote
            remote == null || local.expectedMillis <= remote.expectedMillis -> local
            else -> remote
        }
    }

    private fun remoteCandidate(
        random: Random,
        now: Timestamp,
        isUsable: (Upstream) -> Boolean,
    ): Candidate? {
        if (others.isEmpty()) {
            return null
        }
        val start = random.nextInt(others.size)
        return others.indices.firstNotNullOfOrNull { step ->
            val pool = others[(start + step) % others.size]
            val fallbackMillis = pool.latency.valueAt(now) ?: (lowest() + UNMEASURED_REMOTE_EXTRA_MILLIS)
            pool.betterOfTwo(random, fallbackMillis, now, isUsable)
        }
    }

    private fun lowest(): Double = lowestMillis ?: UNMEASURED_MILLIS

    private fun refreshOthers() {
        others = pools.values.filter { it.failureDomain != own && it.failureDomain !in out && !it.isEmpty }
    }
}
