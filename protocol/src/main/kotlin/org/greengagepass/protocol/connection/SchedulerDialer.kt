/*
 * Keeps a connection to the leader. Tries the known addresses until one of them answers as leader, detects silent
 * connections by pings, and reconnects when the connection ends.
 */
package org.greengagepass.protocol.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
import org.greengagepass.core.ResultCode

/** Supplies the dialer with addresses and receives the events of its connection. Called in the dialer's scope. */
public interface SchedulerConnectionListener {
    /** Returns the addresses at which the leader may be, the most likely first. */
    public fun addresses(): List<String>

    /** Returns the first message of a new connection, or null if no connection is needed yet. */
    public fun hello(): ToScheduler?

    /** Called when a connection to the leader of [epoch], which listens at [address], is established. */
    public fun onConnected(
        epoch: Epoch,
        address: String,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    )

    /** Called for each [message] of the leader. */
    public fun onMessage(message: FromScheduler)

    /** Returns false once a leader with a higher epoch is known, so that this connection is closed. */
    public fun isCurrent(): Boolean

    /** Called when the connection has ended. */
    public fun onDisconnected()

    /**
     * True if any message of the leader tells as much as the answer to a ping. Pings are then sent only while no
     * message arrives, which halves the messages of a leader with many hosts.
     */
    public val needsPingsOnlyInSilence: Boolean
        get() = false

    /** Called when [address] is known not to be the leader: no process listens there, or the process replies so. */
    public fun onNotLeading(address: String): Unit = Unit
}

/** Connects with [connector] and reports to [listener]. */
public class SchedulerDialer(
    private val connector: FrameConnector,
    private val scope: CoroutineScope,
    private val listener: SchedulerConnectionListener,
) {
    private val outgoing = MessageCodec(ToScheduler.serializer())
    private val incoming = MessageCodec(FromScheduler.serializer())
    private var leaderHint: String? = null
    private var hasReceivedSincePing = false

    /** Connects and reconnects until the coroutine is cancelled. */
    public suspend fun run() {
        while (true) {
            listener.hello()?.let { dialAll(it) }
            delay(REDIAL_DELAY_MILLIS)
        }
    }

    private suspend fun dialAll(hello: ToScheduler) {
        val addresses = (listOfNotNull(leaderHint) + listener.addresses()).distinct()
        leaderHint = null
        addresses.firstOrNull { dial(it, hello) }
    }

    /** Connects to [address] and, if it is the leader, receives until the connection ends. Returns true if it is. */
    private suspend fun dial(
        address: String,
        hello: ToScheduler,
    ): Boolean {
        val connection =
            connector.connect(address, outgoing, incoming, CONNECT_TIMEOUT_MILLIS).fold(
                { error ->
                    if (error.code == ResultCode.NO_UPSTREAM) listener.onNotLeading(address)
                    null
                },
                { it },
            ) ?: return false
        connection.start(scope)
        try {
            connection.send(hello)
            val isLeader = awaitWelcome(address, connection)
            if (isLeader) receive(connection)
            return isLeader
        } finally {
            connection.close()
        }
    }

    private suspend fun awaitWelcome(
        address: String,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    ): Boolean =
        when (val first = receiveNext(connection)) {
            is FromScheduler.Welcome -> {
                listener.onConnected(first.epoch, address, connection)
                true
            }
            is FromScheduler.NotLeading -> {
                leaderHint = first.leaderAddress?.takeIf { it != address }
                listener.onNotLeading(address)
                false
            }
            else -> false
        }

    private suspend fun receive(connection: FramedConnection<ToScheduler, FromScheduler>) {
        val pings = scope.launch { sendPings(connection) }
        try {
            var message = receiveNext(connection)
            while (message != null && listener.isCurrent()) {
                hasReceivedSincePing = true
                listener.onMessage(message)
                message = receiveNext(connection)
            }
        } finally {
            pings.cancel()
            listener.onDisconnected()
        }
    }

    private suspend fun receiveNext(connection: FramedConnection<ToScheduler, FromScheduler>): FromScheduler? =
        withTimeoutOrNull(SILENCE_MILLIS) { connection.receive().getOrNull() }

    private suspend fun sendPings(connection: FramedConnection<ToScheduler, FromScheduler>) {
        var isOpen = connection.send(ToScheduler.Ping)
        while (isOpen) {
            hasReceivedSincePing = false
            delay(PING_INTERVAL_MILLIS)
            val isNeeded = !hasReceivedSincePing || !listener.needsPingsOnlyInSilence
            isOpen = !isNeeded || connection.send(ToScheduler.Ping)
        }
    }

    public companion object {
        /** A connection without a message for three ping intervals is considered silent. */
        public const val SILENCE_MILLIS: Long = 1_200

        private const val PING_INTERVAL_MILLIS = 400L

        /** Delay between rounds; a new leader is available a few hundred milliseconds after the old one. */
        private const val REDIAL_DELAY_MILLIS = 60L

        /** A live process accepts a connection within one round trip between failure domains. */
        private const val CONNECT_TIMEOUT_MILLIS = 500L
    }
}
