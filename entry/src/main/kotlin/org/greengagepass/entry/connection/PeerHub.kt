/*
 * Connections that this entry has opened to the other entries, for its queries and the requests that it forwards.
 * Confined to the process's decision dispatcher.
 */
package org.greengagepass.entry.connection

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.EntryId
import org.greengagepass.core.RequestId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.PeerMessage

/** Keeps a connection to each of [addresses]. */
public class PeerHub(
    private val self: EntryId,
    private val addresses: List<String>,
    private val scope: CoroutineScope,
    private val connector: FrameConnector,
    private val clock: MonotonicClock,
    private val handler: PeerMessageHandler,
) {
    private val codec = MessageCodec(PeerMessage.serializer())
    private val connections = HashMap<EntryId, PeerConnection>()

    /** Number of other entries that are connected. */
    public val connected: Int
        get() = connections.size

    /** Keeps connections to all addresses until the process ends. */
    public fun start() {
        addresses.forEach { address -> scope.launch { keepConnected(address) } }
        scope.launch { queryHeads() }
    }

    /** Forwards a request to [owner]. Returns null if it did not answer; whether the request ran is then unknown. */
    public suspend fun forward(
        owner: EntryId,
        forward: PeerMessage.Forward,
    ): RequestOutcome? {
        val outcome = CompletableDeferred<RequestOutcome?>()
        val peer = connections[owner]
        val isSent = peer?.send(forward, outcome) == true
        val answer = if (isSent) withTimeoutOrNull(forward.remainingMillis) { outcome.await() } else null
        peer?.complete(forward.requestId, answer)
        return answer
    }

    private suspend fun keepConnected(address: String) {
        while (true) {
            when (val connection = connector.connect(address, codec, codec, CONNECT_MILLIS)) {
                is Either.Left -> logger.debug("peer {} can't be reached: {}", address, connection.value.detail)
                is Either.Right -> receiveFrom(connection.value)
            }
            delay(RECONNECT_DELAY_MILLIS)
        }
    }

    private suspend fun receiveFrom(connection: FramedConnection<PeerMessage, PeerMessage>) {
        connection.start(scope)
        connection.send(PeerMessage.PeerHello(PROTOCOL_VERSION, self))
        val first = withTimeoutOrNull(PEER_SILENCE_MILLIS) { connection.receive().getOrNull() }
        val hello = first as? PeerMessage.PeerHello
        if (hello != null && hello.protocolVersion == PROTOCOL_VERSION) {
            val peer = PeerConnection(connection)
            connections.put(hello.entry, peer)?.close()
            connection.receiveUntilEnd { handle(peer, it) }
            connections.remove(hello.entry, peer)
            peer.close()
        }
        connection.close()
    }

    private fun handle(
        peer: PeerConnection,
        message: PeerMessage,
    ) {
        when (message) {
            is PeerMessage.HeadAnswer -> peer.takeQuery(message.number)?.let { handler.onHeadAnswer(it, message) }
            is PeerMessage.ForwardAnswer -> peer.complete(message.requestId, message.outcome)
            is PeerMessage.ForwardRefused -> peer.complete(message.requestId, null)
            is PeerMessage.NoHead -> peer.takeQuery(message.number)
            is PeerMessage.PeerHello, is PeerMessage.HeadQuery, is PeerMessage.Forward -> Unit
        }
    }

    private suspend fun queryHeads() {
        while (true) {
            connections.values.forEach { it.query(clock.now()) }
            delay(QUERY_INTERVAL_MILLIS)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(PeerHub::class.java)
        private const val CONNECT_MILLIS = 1_000L
        private const val RECONNECT_DELAY_MILLIS = 500L

        /** A third of the age up to which a configuration permits starts. The queries are also the heartbeats. */
        private const val QUERY_INTERVAL_MILLIS = 1_000L
    }
}

/** A connection that this entry has opened, with its unanswered queries and forwarded requests. */
private class PeerConnection(
    private val connection: FramedConnection<PeerMessage, PeerMessage>,
) {
    private val queries = HashMap<Long, Timestamp>()
    private val forwarded = HashMap<RequestId, CompletableDeferred<RequestOutcome?>>()
    private var nextNumber = 0L

    fun query(now: Timestamp) {
        nextNumber += 1
        if (connection.send(PeerMessage.HeadQuery(nextNumber))) queries[nextNumber] = now
    }

    fun takeQuery(number: Long): Timestamp? = queries.remove(number)

    fun send(
        forward: PeerMessage.Forward,
        outcome: CompletableDeferred<RequestOutcome?>,
    ): Boolean {
        forwarded[forward.requestId] = outcome
        return connection.send(forward)
    }

    fun complete(
        requestId: RequestId,
        outcome: RequestOutcome?,
    ) {
        forwarded.remove(requestId)?.complete(outcome)
    }

    fun close() {
        connection.close()
        forwarded.values.forEach { it.complete(null) }
        forwarded.clear()
    }
}
