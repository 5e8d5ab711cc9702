/*
 * Choice of an upstream for a request. The entry's own failure domain is preferred unless a request is expected to
 * take longer there. Within a domain the better of two random upstreams is chosen, which balances load without
 * herding.
 */
package org.greengagepass.core.request

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import kotlin.random.Random

/**
 * Routes the requests for one service at the entry [entry] in [ownFailureDomain]. The source of randomness is a
 * parameter, so that decisions are reproducible. Not safe for use by several threads at once.
 */
public class Router(
    private val entry: EntryId,
    ownFailureDomain: FailureDomainName,
    private val subsetSize: Int = SUBSET_SIZE,
) {
    private val upstreams = HashMap<HostId, Upstream>()
    private val domains = RouterDomains(ownFailureDomain, subsetSize)
    private val outliers = OutlierDetector()
    private var compareAt: Timestamp? = null

    /** Number of known upstreams, including draining ones. */
    public val size: Int
        get() = upstreams.size

    /** Failure domains that are out of service, see [org.greengagepass.core.version.ConfigurationView]. */
    public var failureDomainsOut: Set<FailureDomainName> by domains::outOfService

    /** Handles a report of an agent on the state of its upstream. */
    public fun reported(report: UpstreamReport) {
        val known = upstreams[report.agent.host]
        when {
            known != null && report.agent.incarnation < known.report.agent.incarnation -> return
            known != null && known.report.failureDomain != report.failureDomain -> gone(known.host)
        }
        val upstream =
            upstreams.getOrPut(report.agent.host) {
                Upstream(report, SubsetSelection.score(entry.value, report.agent.host.value))
            }
        upstream.update(report)
        domains.update(upstream)
    }

    /** Removes the upstream at [host], after the connection to its agent was lost or its announcement ended. */
    public fun gone(host: HostId) {
        upstreams.remove(host)?.let { domains.remove(it) }
        outliers.remove(host)
    }

    /** Chooses an upstream at [now] for a request that has already been tried at the hosts [tried]. */
    public fun route(
        random: Random,
        now: Timestamp,
        tried: Set<HostId> = emptySet(),
    ): Route {
        ejectSlowUpstreams(now)
        val candidate =
            domains.choose(random, now) { it.host !in tried && !outliers.isEjected(it.host, now) }
                ?: domains.choose(random, now) { it.host !in tried }
        return when {
            candidate != null -> Route.To(candidate.upstream.report.agent, candidate.expectedMillis)
            else -> Route.None(noRouteRefusal())
        }
    }

    /** Records that a request was dispatched to [host]. */
    public fun dispatched(host: HostId) {
        upstreams[host]?.dispatched()
    }

    /** Records that an attempt at [host], dispatched at [dispatchedAt], has ended with [outcome]. */
    public fun ended(
        host: HostId,
        outcome: RequestOutcome,
        dispatchedAt: Timestamp,
        now: Timestamp,
    ) {
        val upstream = upstreams[host] ?: return
        upstream.ended()
        when (outcome) {
            is RequestOutcome.Ran -> {
                upstream.latency.add(now.millisSince(dispatchedAt), now)
                domains.measured(upstream, now.millisSince(dispatchedAt), now)
                outliers.ended(host, failed = outcome.code != ResultCode.OK, upstreamCount = upstreams.size, now = now)
            }
            is RequestOutcome.NotRun -> refused(upstream, outcome)
            is RequestOutcome.Unknown -> outliers.ended(host, failed = true, upstreamCount = upstreams.size, now = now)
        }
    }

    /** True if [host] is ejected as an outlier at [now]. */
    public fun isEjected(
        host: HostId,
        now: Timestamp,
    ): Boolean = outliers.isEjected(host, now)

    /**
     * Updates the state of [upstream] by a refusal, which is newer than the last report. The next report replaces it.
     */
    private fun refused(
        upstream: Upstream,
        outcome: RequestOutcome.NotRun,
    ) {
        when (outcome.code) {
            ResultCode.DRAINING -> upstream.update(upstream.report.copy(isDraining = true))
            ResultCode.OVERLOADED, ResultCode.HOST_FULL -> upstream.update(upstream.report.copy(freeSlots = 0))
            else -> return
        }
        domains.update(upstream)
    }

    private fun ejectSlowUpstreams(now: Timestamp) {
        if (compareAt?.let { now < it } == true) {
            return
        }
        compareAt = now.plusMillis(COMPARE_INTERVAL_MILLIS)
        domains.pools().forEach { pool ->
            val latencies =
                pool.inUse().mapNotNull { upstream ->
                    upstream.latency.valueAt(now)?.let {
                        upstream.host to
                            it
                    }
                }
            outliers.ejectSlow(latencies.toMap(), upstreamCount = upstreams.size, now = now)
        }
    }

    private fun noRouteRefusal(): RequestOutcome.NotRun =
        when {
            upstreams.isEmpty() -> RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, "no upstream is known")
            domains.isEveryUpstreamOutOfService() ->
                RequestOutcome.NotRun(
                    ResultCode.FAILURE_DOMAIN_OUT,
                    "every failure domain with an upstream is out of service",
                )
            else ->
                RequestOutcome.NotRun(
                    ResultCode.NO_UPSTREAM,
                    "${upstreams.size} upstreams are draining, out of service or already tried",
                )
        }

    public companion object {
        /** Maximum number of upstreams that one entry uses in each failure domain. */
        public const val SUBSET_SIZE: Int = 64

        /** Interval between comparisons of the latencies of upstreams. */
        public const val COMPARE_INTERVAL_MILLIS: Long = 1_000
    }
}
