/*
 * Keeps one connection to one entry. A connection without heartbeat answers for three seconds is closed, and so is one
 * whose messages raise an unexpected error. The agent then connects again with the same incarnation.
 */
package org.greengagepass.agent.connection

import arrow.core.Either
import arrow.core.getOrElse
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

/** Bounds the time until the agent finds an entry that is available again. */
private const val BACKOFF_MAXIMUM_MILLIS = 1_000L

/** Receives the events of a connection. All calls are on the agent's single thread. */
internal interface EntryConnectionListener {
    /** First message of each connection. */
    val hello: AgentMessage.Hello

    /** Returns a reading of the agent's clock. */
    fun now(): Timestamp

    /** Called when a heartbeat is due on [connection]. */
    fun onHeartbeatDue(connection: EntryConnection)

    /** Called for each [message] received on [connection]. */
    fun onMessage(
        connection: EntryConnection,
        message: EntryMessage,
    )

    /** Called when [connection] has ended or could not be opened because of [reason]. */
    fun onDisconnected(
        connection: EntryConnection,
        reason: String,
    )
}

/** Connection to the entry at [address], which is opened again whenever it ends. */
internal class EntryConnection(
    val address: String,
    private val connector: FrameConnector,
    private val listener: EntryConnectionListener,
) {
    private var openConnection: FramedConnection<AgentMessage, EntryMessage>? = null
    private var monitor: ConnectionMonitor? = null
    private var backoffMillis = FIRST_BACKOFF_MILLIS

    /** True if the entry has sent its welcome on the current connection. */
    var isWelcomed: Boolean = false
        private set

    /** Connects and reconnects until the coroutine is cancelled. */
    suspend fun run() {
        while (coroutineContext.isActive) {
            val framedConnection =
                connector.connect(
                    address = address,
                    outgoing = MessageCodec(AgentMessage.serializer()),
                    incoming = MessageCodec(EntryMessage.serializer()),
                    timeoutMillis = CONNECT_TIMEOUT_MILLIS,
                )
            val reason = framedConnection.fold({ it.detail }, { connection -> serveCatching(connection) })
            listener.onDisconnected(this, reason)
            delay(backoffMillis)
            backoffMillis = minOf(backoffMillis * 2, BACKOFF_MAXIMUM_MILLIS)
        }
    }

    /** Queues [message]. Returns false if there is no connection or its queue is full. */
    fun send(message: AgentMessage): Boolean = openConnection?.send(message) ?: false

    /** Closes the connection after sending the queued messages. */
    fun closeAfterQueued() {
        openConnection?.closeAfterQueued()
    }

    /** Serves the connection and returns why it has ended. */
    private suspend fun serveCatching(framedConnection: FramedConnection<AgentMessage, EntryMessage>): String =
        Either.catch { serve(framedConnection) }.getOrElse { "unexpected error: $it" }

    private suspend fun serve(framedConnection: FramedConnection<AgentMessage, EntryMessage>): String {
        openConnection = framedConnection
        monitor = ConnectionMonitor(listener.now())
        var reason = "the connection ended"
        try {
            coroutineScope {
                framedConnection.start(this)
                framedConnection.send(listener.hello)
                val receiving = launch { reason = receive(framedConnection) }
                val heartbeats =
                    launch {
                        sendHeartbeats()
                        reason = "no heartbeat answer in time"
                    }
                select {
                    receiving.onJoin { heartbeats.cancel() }
                    heartbeats.onJoin { receiving.cancel() }
                }
                framedConnection.close()
            }
        } finally {
            framedConnection.close()
            openConnection = null
            isWelcomed = false
        }
        return reason
    }

    /** Receives messages until the connection ends and returns the reason. */
    private suspend fun receive(framedConnection: FramedConnection<AgentMessage, EntryMessage>): String {
        while (true) {
            val message = framedConnection.receive().fold({ return it.detail }, { it })
            when (message) {
                is EntryMessage.Refusal ->
                    return "the entry refused the connection with ${message.code}: ${message.detail}"
                is EntryMessage.Welcome -> onWelcome()
                is EntryMessage.HeartbeatAnswer -> monitor?.heartbeatReceived(listener.now())
                else -> Unit
            }
            listener.onMessage(this, message)
        }
    }

    private fun onWelcome() {
        isWelcomed = true
        backoffMillis = FIRST_BACKOFF_MILLIS
    }

    /** Sends heartbeats until the monitor closes the connection. */
    private suspend fun sendHeartbeats() {
        val activeMonitor = monitor ?: return
        while (true) {
            when (val decision = activeMonitor.decide(listener.now())) {
                is ConnectionDecision.SendHeartbeat -> listener.onHeartbeatDue(this)
                is ConnectionDecision.Wait -> delay(decision.until.millisSince(listener.now()).coerceAtLeast(1))
                is ConnectionDecision.Close -> return
            }
        }
    }
}
