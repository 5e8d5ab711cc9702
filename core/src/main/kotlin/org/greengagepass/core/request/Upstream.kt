/*
 * State that an entry keeps for one upstream, from the agent's heartbeats and its own requests.
 */
package org.greengagepass.core.request

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.AgentIdentity

/** State of one upstream as its agent reports it with each heartbeat. */
public data class UpstreamReport(
    val agent: AgentIdentity,
    val failureDomain: FailureDomainName,
    val freeSlots: Int,
    val queueLength: Int,
    val isDraining: Boolean = false,
    val slots: Int = DEFAULT_SLOTS,
) {
    public companion object {
        /** Number of requests that an upstream processes concurrently, unless it states another. */
        public const val DEFAULT_SLOTS: Int = 8
    }
}

/** Result of a routing decision. */
public sealed class Route {
    /** Send the request to [agent]; its answer is expected after [expectedMillis]. */
    public data class To(
        val agent: AgentIdentity,
        val expectedMillis: Double,
    ) : Route()

    /** No upstream can take the request. */
    public data class None(
        val refusal: RequestOutcome.NotRun,
    ) : Route()
}

internal class Upstream(
    var report: UpstreamReport,
    val score: Long,
) {
    private var outstandingSinceReport: Int = 0
    val latency = LatencyEstimate()

    val host: HostId
        get() = report.agent.host

    /** Requests that would have to wait for a slot; negative if slots are free. */
    val excess: Int
        get() = report.queueLength - report.freeSlots + outstandingSinceReport

    fun update(report: UpstreamReport) {
        this.report = report
        outstandingSinceReport = 0
    }

    fun dispatched() {
        outstandingSinceReport++
    }

    fun ended() {
        outstandingSinceReport--
    }

    /**
     * Expected time until the answer to one more request: the estimated latency, multiplied by a factor for the queue
     * ahead of it.
     */
    fun expectedMillis(
        fallbackMillis: Double,
        now: Timestamp,
    ): Double {
        val queueFactor = 1.0 + maxOf(0, excess + 1).toDouble() / maxOf(1, report.slots)
        return (latency.valueAt(now) ?: fallbackMillis) * queueFactor
    }
}
