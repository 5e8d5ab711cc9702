/*
 * The agents that are connected to this entry. A host has at most one session: a newer connection of the same or a
 * later incarnation replaces the older one. Confined to the process's decision dispatcher.
 */
package org.greengagepass.entry.connection

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.HostId
import org.greengagepass.core.ResultCode
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.PROTOCOL_VERSION

/** Handles connections and messages of agents. */
public interface AgentMessageHandler {
    /** The answer to the hello of a new session. */
    public fun welcome(session: AgentSession): EntryMessage.Welcome

    /** [session] is ready. An earlier session of the same host has been closed. */
    public fun onConnected(session: AgentSession)

    /** [session] has received [message]. */
    public fun onMessage(
        session: AgentSession,
        message: AgentMessage,
    )

    /** [session] has ended, and no newer one of the host exists. */
    public fun onDisconnected(session: AgentSession)
}

/** Accepts connections of agents, which are registered with [selector], and keeps their sessions. */
public class AgentHub(
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val handler: AgentMessageHandler,
) {
    private val outgoing = MessageCodec(EntryMessage.serializer())
    private val incoming = MessageCodec(AgentMessage.serializer())
    private val sessions = HashMap<HostId, AgentSession>()

    /** Sessions of all hosts. */
    public val all: Collection<AgentSession>
        get() = sessions.values

    /** The session of [host], if it is connected. */
    public operator fun get(host: HostId): AgentSession? = sessions[host]

    /** Serves one accepted connection until it ends. */
    public suspend fun serve(socket: Socket) {
        val connection = FramedConnection(socket, selector, outgoing, incoming)
        connection.start(scope)
        val hello = withTimeoutOrNull(SILENCE_MILLIS) { connection.receive().getOrNull() } as? AgentMessage.Hello
        when {
            hello == null -> refuse(connection, ResultCode.MALFORMED, "the first message must be a hello")

            hello.protocolVersion != PROTOCOL_VERSION ->
                refuse(
                    connection,
                    ResultCode.PROTOCOL_VERSION,
                    "protocol version ${hello.protocolVersion} is not supported; this entry uses $PROTOCOL_VERSION",
                )

            isOutdated(hello) ->
                refuse(connection, ResultCode.STALE_PERMISSION, "a later incarnation of the agent is already connected")

            else -> runSession(AgentSession(hello, connection), connection)
        }
    }

    private fun isOutdated(hello: AgentMessage.Hello): Boolean {
        val current = sessions[hello.host] ?: return false
        return hello.incarnation < current.hello.incarnation
    }

    private fun refuse(
        connection: FramedConnection<EntryMessage, AgentMessage>,
        code: ResultCode,
        detail: String,
    ) {
        logger.warn("refused the connection of {}: {} {}", connection.remoteAddress, code, detail)
        connection.send(EntryMessage.Refusal(code, detail))
        connection.closeAfterQueued()
    }

    private suspend fun runSession(
        session: AgentSession,
        connection: FramedConnection<EntryMessage, AgentMessage>,
    ) {
        sessions.put(session.hello.host, session)?.close()
        session.send(handler.welcome(session))
        handler.onConnected(session)
        logger.info(
            "the agent of {} has connected, incarnation {}",
            session.hello.host.value,
            session.hello.incarnation.value,
        )
        try {
            receiveUntilSilent(session, connection)
        } finally {
            end(session)
        }
    }

    private suspend fun receiveUntilSilent(
        session: AgentSession,
        connection: FramedConnection<EntryMessage, AgentMessage>,
    ) {
        while (true) {
            val received = withTimeoutOrNull(SILENCE_MILLIS) { connection.receive() }
            when (received) {
                null -> return logger.warn(
                    "the agent of {} has sent no message in time; its connection is closed",
                    session.hello.host.value,
                )

                is Either.Left ->
                    return logger.info(
                        "the connection to the agent of {} has ended: {}",
                        session.hello.host.value,
                        received.value.detail,
                    )

                is Either.Right -> handler.onMessage(session, received.value)
            }
        }
    }

    private fun end(session: AgentSession) {
        session.close()
        if (sessions.remove(session.hello.host, session)) {
            handler.onDisconnected(session)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(AgentHub::class.java)

        /** Three heartbeat intervals. A connection without a message for longer is considered lost. */
        private const val SILENCE_MILLIS = 3_000L
    }
}
