/*
 * Conversion of a deadline of the entry to the clock of an agent.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.Timestamp

/** A reading of an agent's clock that its heartbeat carried, and the entry's clock when the heartbeat was handled. */
public data class AgentClock(
    val agentReading: Timestamp,
    val handledAt: Timestamp,
) {
    /**
     * [deadline], a time of the entry's clock, in the agent's clock. The agent's reading is older than its handling,
     * so the result is never later than the deadline itself; delay only makes the agent refuse earlier. The result
     * is bounded to what an agent takes.
     */
    public fun deadlineInAgentClock(
        deadline: Timestamp,
        now: Timestamp,
    ): Timestamp {
        val latest = now.plusMillis(HandledRequests.DISPATCH_DEADLINE_MAXIMUM_MILLIS)
        return agentReading.plusMillis(minOf(deadline, latest).millisSince(handledAt))
    }
}
