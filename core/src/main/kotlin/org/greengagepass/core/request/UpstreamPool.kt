/*
 * The upstreams of one service in one failure domain, and the subset of them that this entry uses.
 */
package org.greengagepass.core.request

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp
import java.util.TreeSet
import kotlin.random.Random

internal class UpstreamPool(
    val failureDomain: FailureDomainName,
    private val subsetSize: Int,
) {
    private val available = TreeSet(compareByDescending<Upstream> { it.score }.thenBy { it.host.value })
    private var subset: List<Upstream>? = emptyList()
    val latency = LatencyEstimate()

    val isEmpty: Boolean
        get() = available.isEmpty()

    val size: Int
        get() = available.size

    fun add(upstream: Upstream) {
        if (available.add(upstream)) {
            subset = null
        }
    }

    fun remove(upstream: Upstream) {
        if (available.remove(upstream)) {
            subset = null
        }
    }

    /** The upstreams that this entry uses. The others of a large pool are used by other entries. */
    fun inUse(): List<Upstream> = subset ?: available.take(subsetSize).also { subset = it }

    /** Returns the better of two random upstreams that satisfy [isUsable], or null if none does. */
    fun betterOfTwo(
        random: Random,
        fallbackMillis: Double,
        now: Timestamp,
        isUsable: (Upstream) -> Boolean,
    ): Candidate? {
        val choices = inUse()
        val first = usableFrom(choices, random, isUsable) ?: return null
        val second = usableFrom(choices, random) { it !== first && isUsable(it) } ?: first
        return minOf(
            Candidate(first, first.expectedMillis(fallbackMillis, now)),
            Candidate(second, second.expectedMillis(fallbackMillis, now)),
        )
    }

    private fun usableFrom(
        choices: List<Upstream>,
        random: Random,
        isUsable: (Upstream) -> Boolean,
    ): Upstream? {
        if (choices.isEmpty()) {
            return null
        }
        val start = random.nextInt(choices.size)
        return choices.indices.firstNotNullOfOrNull { step -> choices[(start + step) % choices.size].takeIf(isUsable) }
    }
}

internal data class Candidate(
    val upstream: Upstream,
    val expectedMillis: Double,
) : Comparable<Candidate> {
    val host: HostId
        get() = upstream.host

    override fun compareTo(other: Candidate): Int =
        compareValuesBy(this, other, { it.expectedMillis }, { it.upstream.excess })
}
