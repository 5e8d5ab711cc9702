/*
 * Connections that other entries have opened to this one, for their queries and the requests that they forward.
 * Confined to the process's decision dispatcher.
 */
package org.greengagepass.entry.connection

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.EntryId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.PeerMessage

/** Three query intervals. A connection without a message for longer is considered lost. */
internal const val PEER_SILENCE_MILLIS: Long = 3_000

/** Handles messages of other entries. */
public interface PeerMessageHandler {
    /** The answer to [query], or null if this entry has no confirmed view of the configuration. */
    public fun answerHeadQuery(query: PeerMessage.HeadQuery): PeerMessage.HeadAnswer?

    /** A peer has answered a query that was sent at [sentAt]. */
    public fun onHeadAnswer(
        sentAt: Timestamp,
        answer: PeerMessage.HeadAnswer,
    )

    /** Executes a request that a peer has forwarded. Returns null if this entry does not own the key. */
    public suspend fun executeForwarded(forward: PeerMessage.Forward): RequestOutcome?
}

/** Answers other entries by [handler]. Their connections are registered with [selector]. */
public class PeerServer(
    private val self: EntryId,
    private val scope: CoroutineScope,
    private val selector: SelectorManager,
    private val handler: PeerMessageHandler,
) {
    private val codec = MessageCodec(PeerMessage.serializer())

    /** Serves one accepted connection until it ends. */
    public suspend fun serve(socket: Socket) {
        val connection = FramedConnection(socket, selector, codec, codec)
        connection.start(scope)
        if (receivesHello(connection)) {
            connection.send(PeerMessage.PeerHello(PROTOCOL_VERSION, self))
            connection.receiveUntilEnd { answer(connection, it) }
        }
        connection.close()
    }

    private suspend fun receivesHello(connection: FramedConnection<PeerMessage, PeerMessage>): Boolean {
        val hello =
            withTimeoutOrNull(
                PEER_SILENCE_MILLIS,
            ) { connection.receive().getOrNull() } as? PeerMessage.PeerHello
        return hello?.protocolVersion == PROTOCOL_VERSION
    }

    private fun answer(
        connection: FramedConnection<PeerMessage, PeerMessage>,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.HeadQuery ->
                connection.send(handler.answerHeadQuery(message) ?: PeerMessage.NoHead(message.number))

            is PeerMessage.Forward ->
                scope.launch { connection.send(execute(message)) }

            is PeerMessage.PeerHello, is PeerMessage.HeadAnswer, is PeerMessage.NoHead, is PeerMessage.ForwardAnswer,
            is PeerMessage.ForwardRefused,
            -> Unit
        }
    }

    private suspend fun execute(forward: PeerMessage.Forward): PeerMessage =
        handler.executeForwarded(forward)?.let { PeerMessage.ForwardAnswer(forward.requestId, it) }
            ?: PeerMessage.ForwardRefused(forward.requestId)
}

/** Passes each message to [onMessage] until the connection ends or no message comes in time. */
internal suspend fun FramedConnection<PeerMessage, PeerMessage>.receiveUntilEnd(onMessage: (PeerMessage) -> Unit) {
    var received = withTimeoutOrNull(PEER_SILENCE_MILLIS) { receive().getOrNull() }
    while (received != null) {
        onMessage(received)
        received = withTimeoutOrNull(PEER_SILENCE_MILLIS) { receive().getOrNull() }
    }
}
