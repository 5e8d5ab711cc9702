/*
 * Conversion of a deadline from the entry's clock to the clock of an agent.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.Timestamp

/** A reading of an agent's clock from a heartbeat, and the entry's clock when that heartbeat was handled. */
public data class AgentClock(
    val agentReading: Timestamp,
    val handledAt: Timestamp,
) {
    /**
     * Converts [deadline] from the entry's clock to the agent's clock. The agent's clock was read before the
     * heartbeat was handled, so the result is never later than the deadline itself; a delay only makes the agent
     * refuse earlier. The result is limited to the longest deadline that an agent accepts.
     */
    public fun deadlineInAgentClock(
        deadline: Timestamp,
        now: Timestamp,
    ): Timestamp {
        val latest = now.plusMillis(HandledRequests.DISPATCH_DEADLINE_MAXIMUM_MILLIS)
        return agentReading.plusMillis(minOf(deadline, latest).millisSince(handledAt))
    }
}
