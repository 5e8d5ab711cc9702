/*
 * Keeps a connection to the leading scheduler. It tries the addresses that it is given until one answers as leader,
 * finds silent connections by pings, and starts over when the connection ends.
 */
package org.greengagepass.protocol.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
import org.greengagepass.core.ResultCode

/** What happens on the connection to the scheduler. Called in the dialer's scope. */
public interface SchedulerConnectionListener {
    /** Addresses at which the leader may be, the likeliest first. */
    public fun addresses(): List<String>

    /** First message on a new connection; null if there is nothing to connect for yet. */
    public fun hello(): ToScheduler?

    /** A connection to the leader of [epoch] stands. */
    public fun onConnected(
        epoch: Epoch,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    )

    /** The leader has sent [message]. */
    public fun onMessage(message: FromScheduler)

    /** False once a leader with a higher epoch is known, so that this connection is given up. */
    public fun isCurrent(): Boolean

    /** The connection has ended. */
    public fun onDisconnected()

    /** The process at [address] is certainly no leader: nobody listens there, or it says so. */
    public fun onNotLeading(address: String): Unit = Unit
}

/** Dials with [connector] and reports to [events]. */
public class SchedulerDialer(
    private val connector: FrameConnector,
    private val scope: CoroutineScope,
    private val events: SchedulerConnectionListener,
) {
    private val outgoing = MessageCodec(ToScheduler.serializer())
    private val incoming = MessageCodec(FromScheduler.serializer())
    private var hint: String? = null

    /** Dials until its coroutine is cancelled. */
    public suspend fun run() {
        while (true) {
            events.hello()?.let { dialAll(it) }
            delay(REDIAL_MILLIS)
        }
    }

    private suspend fun dialAll(hello: ToScheduler) {
        val addresses = (listOfNotNull(hint) + events.addresses()).distinct()
        hint = null
        addresses.firstOrNull { serve(it, hello) }
    }

    /** True if there was a connection to the leader. */
    private suspend fun serve(
        address: String,
        hello: ToScheduler,
    ): Boolean {
        val connection =
            connector.connect(address, outgoing, incoming, CONNECT_TIMEOUT_MILLIS).fold(
                { error ->
                    if (error.code == ResultCode.NO_UPSTREAM) events.onNotLeading(address)
                    null
                },
                { it },
            ) ?: return false
        connection.start(scope)
        connection.send(hello)
        val isLeader = awaitWelcome(address, connection)
        if (isLeader) receive(connection)
        connection.close()
        return isLeader
    }

    private suspend fun awaitWelcome(
        address: String,
        connection: FramedConnection<ToScheduler, FromScheduler>,
    ): Boolean =
        when (val first = next(connection)) {
            is FromScheduler.Welcome -> {
                events.onConnected(first.epoch, connection)
                true
            }
            is FromScheduler.NotLeading -> {
                hint = first.leaderAddress?.takeIf { it != address }
                events.onNotLeading(address)
                false
            }
            else -> false
        }

    private suspend fun receive(connection: FramedConnection<ToScheduler, FromScheduler>) {
        val pings = scope.launch { ping(connection) }
        try {
            var message = next(connection)
            while (message != null && events.isCurrent()) {
                events.onMessage(message)
                message = next(connection)
            }
        } finally {
            pings.cancel()
            events.onDisconnected()
        }
    }

    private suspend fun next(connection: FramedConnection<ToScheduler, FromScheduler>): FromScheduler? =
        withTimeoutOrNull(SILENCE_MILLIS) { connection.receive().getOrNull() }

    private suspend fun ping(connection: FramedConnection<ToScheduler, FromScheduler>) {
        while (connection.send(ToScheduler.Ping)) {
            delay(PING_MILLIS)
        }
    }

    public companion object {
        /** A connection without a message for three pings has gone silent. */
        public const val SILENCE_MILLIS: Long = 1_200

        private const val PING_MILLIS = 400L

        /** Time between rounds over all addresses; a new leader is there a few hundred milliseconds after the old. */
        private const val REDIAL_MILLIS = 60L

        /** A process that is alive accepts within a round trip between failure domains. */
        private const val CONNECT_TIMEOUT_MILLIS = 500L
    }
}
