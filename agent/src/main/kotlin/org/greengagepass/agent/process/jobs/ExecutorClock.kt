/*
 * Estimates the clock of the executor between its reports, so that the agent can tell by itself that a lease has
 * expired.
 */
package org.greengagepass.agent.process.jobs

import org.greengagepass.core.process.jobs.HostIncarnation

/** Clock of the executor, estimated by the agent's [clock], in milliseconds. */
internal class ExecutorClock(
    private val clock: () -> Long,
) {
    private var latest: Reading? = null

    /** Notes that the clock of [incarnation] has just shown [clockMillis]. */
    fun update(
        incarnation: HostIncarnation,
        clockMillis: Long,
    ) {
        latest = Reading(incarnation, clockMillis, clock())
    }

    /** True if the clock of [incarnation] has certainly passed [clockMillis], even if it is slow. */
    fun hasPassed(
        incarnation: HostIncarnation,
        clockMillis: Long,
    ): Boolean {
        val reading = latest?.takeIf { it.incarnation == incarnation } ?: return false
        val elapsed = (clock() - reading.agentClockMillis) * SLOWEST_PERCENT / PERCENT
        return reading.clockMillis + elapsed >= clockMillis
    }

    private data class Reading(
        val incarnation: HostIncarnation,
        val clockMillis: Long,
        val agentClockMillis: Long,
    )

    private companion object {
        private const val PERCENT = 100

        /** The clock of an executor may be 2% slow. */
        private const val SLOWEST_PERCENT = 98
    }
}
