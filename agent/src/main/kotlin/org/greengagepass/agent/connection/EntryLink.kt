/*
 * Keeps one connection to one entry. A connection without heartbeat answers for three seconds is given up, and the
 * agent connects again with the same incarnation.
 */
package org.greengagepass.agent.connection

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import org.greengagepass.core.Timestamp
import org.greengagepass.core.connection.ConnectionDecision
import org.greengagepass.core.connection.ConnectionMonitor
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.MessageCodec
import kotlin.coroutines.coroutineContext

private const val CONNECT_TIMEOUT_MILLIS = 1_000L
private const val FIRST_BACKOFF_MILLIS = 100L

/** An entry that is back is found again within this time. */
private const val BACKOFF_MAXIMUM_MILLIS = 1_000L

/** What a link needs from the agent. All calls come from the agent's one thread. */
internal interface LinkOwner {
    /** The first message of each connection. */
    val hello: AgentMessage.Hello

    /** A reading of the agent's clock. */
    fun now(): Timestamp

    /** Time to send a heartbeat on [link]. */
    fun heartbeatDue(link: EntryLink)

    /** [message] came in on [link]. */
    fun received(
        link: EntryLink,
        message: EntryMessage,
    )

    /** The connection of [link] has ended since [reason]. */
    fun disconnected(
        link: EntryLink,
        reason: String,
    )
}

/** The connection to the entry at [address], opened again whenever it ends. */
internal class EntryLink(
    val address: String,
    private val connector: FrameConnector,
    private val owner: LinkOwner,
) {
    private var connection: FramedConnection<AgentMessage, EntryMessage>? = null
    private var monitor: ConnectionMonitor? = null
    private var backoffMillis = FIRST_BACKOFF_MILLIS

    /** True if the entry has welcomed the agent on the present connection. */
    var isWelcome: Boolean = false
        private set

    /** Keeps the connection until the coroutine is cancelled. */
    suspend fun run() {
        while (coroutineContext.isActive) {
            val opened =
                connector.connect(
                    address = address,
                    outgoing = MessageCodec(AgentMessage.serializer()),
                    incoming = MessageCodec(EntryMessage.serializer()),
                    timeoutMillis = CONNECT_TIMEOUT_MILLIS,
                )
            opened.fold({ owner.disconnected(this, it.detail) }, { serve(it) })
            delay(backoffMillis)
            backoffMillis = minOf(backoffMillis * 2, BACKOFF_MAXIMUM_MILLIS)
        }
    }

    /** Queues [message]; false if there is no connection or it can't take more. */
    fun send(message: AgentMessage): Boolean = connection?.send(message) ?: false

    /** Sends what is queued and closes the connection. */
    fun closeAfterQueued() {
        connection?.closeAfterQueued()
    }

    private suspend fun serve(opened: FramedConnection<AgentMessage, EntryMessage>) {
        connection = opened
        monitor = ConnectionMonitor(owner.now())
        var reason = "the connection ended"
        try {
            coroutineScope {
                opened.start(this)
                opened.send(owner.hello)
                val receiving = launch { reason = receive(opened) }
                val beating =
                    launch {
                        beat()
                        reason = "no heartbeat answer in time"
                    }
                select {
                    receiving.onJoin { beating.cancel() }
                    beating.onJoin { receiving.cancel() }
                }
                opened.close()
            }
        } finally {
            opened.close()
            connection = null
            isWelcome = false
        }
        owner.disconnected(this, reason)
    }

    /** Receives until the connection ends, and gives the reason. */
    private suspend fun receive(opened: FramedConnection<AgentMessage, EntryMessage>): String {
        while (true) {
            val message = opened.receive().fold({ return it.detail }, { it })
            when (message) {
                is EntryMessage.Refusal -> return "the entry refused with ${message.code}: ${message.detail}"
                is EntryMessage.Welcome -> welcomed()
                is EntryMessage.HeartbeatAnswer -> monitor?.heartbeatReceived(owner.now())
                else -> Unit
            }
            owner.received(this, message)
        }
    }

    private fun welcomed() {
        isWelcome = true
        backoffMillis = FIRST_BACKOFF_MILLIS
    }

    /** Sends heartbeats until the connection is found dead. */
    private suspend fun beat() {
        val watched = monitor ?: return
        while (true) {
            when (val decision = watched.decide(owner.now())) {
                is ConnectionDecision.SendHeartbeat -> owner.heartbeatDue(this)
                is ConnectionDecision.Wait -> delay(decision.until.millisSince(owner.now()).coerceAtLeast(1))
                is ConnectionDecision.Close -> return
            }
        }
    }
}
