/*
 * The request policy of each service: the routing to its upstreams, the retry budget, and load shedding.
 */
package org.greengagepass.entry.request

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.request.LoadShedder
import org.greengagepass.core.request.RequestPolicy
import org.greengagepass.core.request.RetryBudget
import org.greengagepass.core.request.Router
import org.greengagepass.core.request.UpstreamReport
import org.greengagepass.protocol.connection.AgentMessage

/** Policies of [entryId] in [failureDomain], one for each service that agents have reported. */
public class ServicePolicies(
    private val entryId: EntryId,
    private val failureDomain: FailureDomainName,
) {
    private val policies = HashMap<ServiceName, RequestPolicy>()

    /** Failure domains that are out of service; no request is routed to them. */
    public var failureDomainsOut: Set<FailureDomainName> = emptySet()
        set(names) {
            field = names
            policies.values.forEach { it.router.failureDomainsOut = names }
        }

    /** One policy for all services that no agent has reported, so that callers can't fill memory with names. */
    private val unreported = newPolicy()

    /** The policy of [service]. */
    public fun of(service: ServiceName): RequestPolicy = policies[service] ?: unreported

    /** Updates the upstreams of [agent] in [agentDomain] from its [heartbeat]. */
    public fun reported(
        agentDomain: FailureDomainName,
        agent: AgentIdentity,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        val reported = heartbeat.services.map { it.service }.toSet()
        policies.filterKeys { it !in reported }.values.forEach { it.router.gone(agent.host) }
        heartbeat.services.forEach { state ->
            policies.getOrPut(state.service) { newPolicy() }.router.reported(
                UpstreamReport(
                    agent = agent,
                    failureDomain = agentDomain,
                    freeSlots = state.freeSlots,
                    queueLength = state.queueLength,
                    isDraining = state.leaving || heartbeat.draining,
                ),
            )
        }
    }

    private fun newPolicy(): RequestPolicy {
        val router = Router(entryId, failureDomain)
        router.failureDomainsOut = failureDomainsOut
        return RequestPolicy(router, RetryBudget(), LoadShedder())
    }

    /** Removes the upstreams of [host], whose agent is no longer connected. */
    public fun gone(host: HostId) {
        policies.values.forEach { it.router.gone(host) }
    }
}
