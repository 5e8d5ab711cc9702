/*
 * Heartbeats of an agent, numbered across all its connections.
 */
package org.greengagepass.agent.process

import org.greengagepass.agent.connection.EntryConnection
import org.greengagepass.agent.request.RequestHandler
import org.greengagepass.agent.version.FailureDomainView
import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp
import org.greengagepass.protocol.connection.AgentMessage

/** Components that supply the content of heartbeats. */
internal class HeartbeatSources(
    val clock: () -> Timestamp,
    val supervisor: TaskSupervisor,
    val handler: RequestHandler,
    val driver: WorkerDriver,
    val domain: FailureDomainView,
)

/** Sends heartbeats with the state of [sources]. */
internal class Heartbeats(
    private val sources: HeartbeatSources,
) {
    /** True once the agent takes no new work. */
    var draining: Boolean = false

    /** Sequence number of the newest heartbeat. */
    var newestSequence: Long = 0
        private set

    /** Sends a heartbeat on [connection]. Only the owner of the partition needs the list of attempts. */
    fun send(
        connection: EntryConnection,
        forOwner: Boolean,
    ) {
        connection.send(next(forOwner))
    }

    private fun next(forOwner: Boolean): AgentMessage.Heartbeat {
        val now = sources.clock()
        return AgentMessage.Heartbeat(
            sequence = ++newestSequence,
            agentClock = now,
            workerClock = sources.driver.newestReport?.clock,
            highestEpoch = sources.supervisor.highestEpoch,
            configurationVersion = sources.domain.version,
            capacity =
                sources.driver.newestReport
                    ?.capacity ?: Resources.NONE,
            free = sources.supervisor.free,
            services = sources.handler.services(now),
            tasks = if (forOwner) sources.supervisor.tasks else emptyList(),
            draining = draining,
        )
    }
}
