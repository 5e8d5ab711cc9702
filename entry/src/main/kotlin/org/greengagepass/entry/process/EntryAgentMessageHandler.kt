/*
 * Handles connections and messages of agents.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.entry.connection.AgentMessageHandler
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.request.RequestRunner
import org.greengagepass.entry.version.ConfigurationService
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.TaskChange

/** Passes messages of agents to [runner] and [partitions], and answers heartbeats. */
public class EntryAgentMessageHandler(
    private val settings: EntrySettings,
    private val configuration: ConfigurationService,
    private val runner: RequestRunner,
    private val partitions: Partitions,
    private val metrics: EntryMetrics,
) : AgentMessageHandler {
    override fun welcome(session: AgentSession): EntryMessage.Welcome =
        EntryMessage.Welcome(
            protocolVersion = PROTOCOL_VERSION,
            entryAddresses = listOf(settings.advertisedAddress),
            partition = partitions.numberOf(session.hello.host),
            ownerAddress = partitions.of(session.hello.host).ownership.activeAddress,
        )

    override fun onConnected(session: AgentSession) {
        runner.onConnected(session)
    }

    override fun onMessage(
        session: AgentSession,
        message: AgentMessage,
    ) {
        when (message) {
            is AgentMessage.Heartbeat -> onHeartbeat(session, message)
            is AgentMessage.RequestAnswer -> runner.onAnswer(session, message)
            is AgentMessage.InquiryAnswer -> runner.onInquiryAnswer(session, message)
            is AgentMessage.TaskEvent -> onTaskEvent(session, message)
            is AgentMessage.Goodbye -> session.close()
            is AgentMessage.Hello -> Unit
        }
    }

    override fun onDisconnected(session: AgentSession) {
        runner.onDisconnected(session)
    }

    private fun onTaskEvent(
        session: AgentSession,
        event: AgentMessage.TaskEvent,
    ) {
        val change = event.change
        if (change is TaskChange.Stopped && change.reason == ReleaseReason.EVICTED) metrics.evicted(event.token)
        partitions.of(session.hello.host).onTaskEvent(session, event)
    }

    private fun onHeartbeat(
        session: AgentSession,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        val partition = partitions.of(session.hello.host)
        session.heartbeat = heartbeat
        runner.onHeartbeat(session, heartbeat)
        session.send(
            EntryMessage.HeartbeatAnswer(
                sequence = heartbeat.sequence,
                configurationVersion = configuration.view.version,
                failureDomainOut = configuration.view.isOut(session.hello.failureDomain),
                entryAddresses = listOf(settings.advertisedAddress),
                ownerAddress = partition.ownership.activeAddress,
            ),
        )
        partition.onHeartbeat(session, heartbeat)
    }
}
