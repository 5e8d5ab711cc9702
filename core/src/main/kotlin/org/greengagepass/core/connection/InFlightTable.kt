/*
 * Index of the attempts in flight: by attempt, by host and by deadline.
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

    /** False, with no effect, if the attempt is in flight already. */
    fun add(entry: InFlightAttempt): Boolean {
        if (attempts.putIfAbsent(entry.attempt, entry) != null) {
            return false
        }
        byHost.getOrPut(entry.agent.host) { LinkedHashMap() }[entry.attempt] = entry
        byDeadline.add(entry)
        return true
    }

    fun remove(entry: InFlightAttempt) {
        attempts.remove(entry.attempt)
        byDeadline.remove(entry)
        val atHost = byHost.getValue(entry.agent.host)
        atHost.remove(entry.attempt)
        if (atHost.isEmpty()) {
            byHost.remove(entry.agent.host)
        }
    }
}
