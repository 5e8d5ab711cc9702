/*
 * The attempts in flight, indexed by attempt, host and deadline.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp
import java.util.TreeSet

internal data class InFlightAttempt(
    val attempt: AttemptId,
    val agent: AgentIdentity,
    val deadline: Timestamp,
    val deadlineAgentClock: Timestamp,
)

internal class InFlightTable {
    private val attempts = HashMap<AttemptId, InFlightAttempt>()
    private val byHost = HashMap<HostId, LinkedHashMap<AttemptId, InFlightAttempt>>()
    private val byDeadline =
        TreeSet(
            compareBy<InFlightAttempt> { it.deadline }
                .thenBy { it.attempt.requestId.value }
                .thenBy { it.attempt.number },
        )

    val size: Int
        get() = attempts.size

    operator fun get(attempt: AttemptId): InFlightAttempt? = attempts[attempt]

    fun earliest(): InFlightAttempt? = if (byDeadline.isEmpty()) null else byDeadline.first()

    fun countAt(host: HostId): Int = byHost[host]?.size ?: 0

    fun at(host: HostId): List<InFlightAttempt> = byHost[host]?.values?.toList().orEmpty()

    fun at(agent: AgentIdentity): List<InFlightAttempt> = at(agent.host).filter { it.agent == agent }

    /** Returns false without an effect if the attempt is already in flight. */
    fun add(inFlight: InFlightAttempt): Boolean {
        if (attempts.putIfAbsent(inFlight.attempt, inFlight) != null) {
            return false
        }
        byHost.getOrPut(inFlight.agent.host) { LinkedHashMap() }[inFlight.attempt] = inFlight
        byDeadline.add(inFlight)
        return true
    }

    fun remove(inFlight: InFlightAttempt) {
        attempts.remove(inFlight.attempt)
        byDeadline.remove(inFlight)
        val atHost = byHost.getValue(inFlight.agent.host)
        atHost.remove(inFlight.attempt)
        if (atHost.isEmpty()) {
            byHost.remove(inFlight.agent.host)
        }
    }
}
