/*
 * The failure domains among which a router chooses.
 */
package org.greengagepass.core.request

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp
import kotlin.random.Random

/** Expected latency of a service without any measurement. */
private const val DEFAULT_LATENCY_MILLIS = 50.0

/** Round trip between failure domains that are 5 ms apart; assumed for a domain without a recent measurement. */
private const val DEFAULT_REMOTE_EXTRA_MILLIS = 10.0

/** Factor by which each sample raises the lowest latency seen, so that it follows a service that has become slower. */
private const val LOWEST_LATENCY_GROWTH = 1.001

internal class RouterDomains(
    private val ownDomain: FailureDomainName,
    private val subsetSize: Int,
) {
    private val pools = LinkedHashMap<FailureDomainName, UpstreamPool>()
    private var otherPools: List<UpstreamPool> = emptyList()
    private var lowestMillis: Double? = null

    var outOfService: Set<FailureDomainName> = emptySet()
        set(value) {
            field = value
            refreshOtherPools()
        }

    fun pools(): Collection<UpstreamPool> = pools.values

    /** True if there are upstreams that are not draining, all of them in failure domains that are out of service. */
    fun isEveryUpstreamOutOfService(): Boolean {
        val occupied = pools.values.filterNot { it.isEmpty }
        return occupied.isNotEmpty() && occupied.all { it.failureDomain in outOfService }
    }

    /** Adds [upstream] to its failure domain, or removes it if it is draining. */
    fun update(upstream: Upstream) {
        if (upstream.report.isDraining) {
            remove(upstream)
            return
        }
        val name = upstream.report.failureDomain
        val pool = pools.getOrPut(name) { UpstreamPool(name, subsetSize) }
        val wasEmpty = pool.isEmpty
        pool.add(upstream)
        if (wasEmpty) {
            refreshOtherPools()
        }
    }

    fun remove(upstream: Upstream) {
        val pool = pools[upstream.report.failureDomain] ?: return
        pool.remove(upstream)
        if (pool.isEmpty) {
            refreshOtherPools()
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
        lowestMillis = minOf(value, lowestMillis?.times(LOWEST_LATENCY_GROWTH) ?: value)
    }

    /**
     * Returns the better of a candidate in the own failure domain and one in another domain that is chosen at random.
     * The one in the own domain is preferred unless it is expected to take longer.
     */
    fun choose(
        random: Random,
        now: Timestamp,
        isUsable: (Upstream) -> Boolean,
    ): Candidate? {
        val ownPool = pools[ownDomain]?.takeUnless { ownDomain in outOfService }
        val local = ownPool?.betterOfTwo(random, ownPool.latency.valueAt(now) ?: lowestOrDefaultMillis(), now, isUsable)
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
        if (otherPools.isEmpty()) {
            return null
        }
        val start = random.nextInt(otherPools.size)
        return otherPools.indices.firstNotNullOfOrNull { step ->
            val pool = otherPools[(start + step) % otherPools.size]
            val fallbackMillis = pool.latency.valueAt(now) ?: (lowestOrDefaultMillis() + DEFAULT_REMOTE_EXTRA_MILLIS)
            pool.betterOfTwo(random, fallbackMillis, now, isUsable)
        }
    }

    private fun lowestOrDefaultMillis(): Double = lowestMillis ?: DEFAULT_LATENCY_MILLIS

    private fun refreshOtherPools() {
        otherPools =
            pools.values.filter { it.failureDomain != ownDomain && it.failureDomain !in outOfService && !it.isEmpty }
    }
}
