/*
 * The dialer against a scheduler that answers pings and against one whose connection goes silent.
 */
package org.greengagepass.protocol.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class SchedulerDialerTest {
    private val server = ServerSocket(0, CONNECTIONS_MAXIMUM, InetAddress.getLoopbackAddress())
    private val outgoing = MessageCodec(FromScheduler.serializer())
    private val incoming = MessageCodec(ToScheduler.serializer())
    private val pings = AtomicInteger()
    private val ended = CountDownLatch(1)
    private val listener = RecordingListener("127.0.0.1:${server.localPort}")

    @AfterEach
    fun close() = server.close()

    @Test
    fun `a silent connection is closed and dialled again`() {
        // Guards against waiting forever for a leader whose packets are dropped without a reset.
        serve(answersPings = false)
        dial {
            val hasRedialled =
                withTimeoutOrNull(TIMEOUT_MILLIS) { while (listener.connected.get() < 2) delay(POLL_MILLIS) }
            expectThat(hasRedialled).isNotNull()
            expectThat(listener.disconnected.get()).isGreaterThan(0)
            expectThat(pings.get()).isGreaterThan(0)
        }
    }

    @Test
    fun `a connection that carries only pings and pongs stays open`() {
        serve(answersPings = true)
        dial {
            withTimeoutOrNull(TIMEOUT_MILLIS) { while (pings.get() < PINGS_MINIMUM) delay(POLL_MILLIS) }
            expectThat(pings.get()).isGreaterThan(PINGS_MINIMUM - 1)
            expectThat(listener.connected.get()).isEqualTo(1)
            expectThat(listener.disconnected.get()).isEqualTo(0)
        }
    }

    @Test
    fun `no pings are sent while other messages of the leader arrive`() {
        // Guards against a leader that answers twice as many messages as its hosts need.
        listener.needsPingsOnlyInSilence = true
        serve(answersPings = true, sendsMessages = true)
        dial {
            withTimeoutOrNull(TIMEOUT_MILLIS) { while (listener.messages.get() < MESSAGES_MINIMUM) delay(POLL_MILLIS) }
            expectThat(listener.messages.get()).isGreaterThan(MESSAGES_MINIMUM - 1)
            expectThat(pings.get()).isLessThan(3)
            expectThat(listener.disconnected.get()).isEqualTo(0)
        }
    }

    @Test
    fun `a connection whose message raises an error is closed`() {
        // Guards against connections that stay open for as long as the process runs.
        serve(answersPings = true)
        val connector = FrameConnector(Dispatchers.IO)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
        listener.failure = IllegalStateException("unexpected")
        val error =
            runBlocking { scope.async { SchedulerDialer(connector, scope, listener).run() }.runCatching { await() } }
        expectThat(error.exceptionOrNull()?.message).isEqualTo("unexpected")
        expectThat(ended.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue()
        scope.cancel()
        connector.close()
    }

    private fun dial(check: suspend () -> Unit) =
        runBlocking {
            FrameConnector(Dispatchers.IO).use { connector ->
                val scope = CoroutineScope(coroutineContext)
                val dialing = scope.launch { SchedulerDialer(connector, this, listener).run() }
                check()
                dialing.cancelAndJoin()
            }
        }

    private fun serve(
        answersPings: Boolean,
        sendsMessages: Boolean = false,
    ) = thread(isDaemon = true) {
        while (!server.isClosed) {
            val socket = accept() ?: break
            thread(isDaemon = true) { answer(socket, answersPings, sendsMessages) }
        }
    }

    private fun accept(): Socket? =
        try {
            server.accept()
        } catch (_: IOException) {
            // The test has ended and closed the server.
            null
        }

    /** Sends a message every [POLL_MILLIS], as to a host that reports often. */
    private fun sendMessages(output: DataOutputStream) {
        try {
            while (true) {
                Thread.sleep(POLL_MILLIS)
                send(output, FromScheduler.Pong(isStoreAvailable = true))
            }
        } catch (_: IOException) {
            // The dialer has closed the connection.
        }
    }

    private fun send(
        output: DataOutputStream,
        message: FromScheduler,
    ) = synchronized(output) {
        val bytes = outgoing.encode(message)
        output.writeInt(bytes.size)
        output.write(bytes)
        output.flush()
    }

    private fun answer(
        socket: Socket,
        answersPings: Boolean,
        sendsMessages: Boolean,
    ) {
        try {
            val input = DataInputStream(socket.getInputStream())
            val output = DataOutputStream(socket.getOutputStream())
            answerOne(input, output, answersPings)
            if (sendsMessages) thread(isDaemon = true) { sendMessages(output) }
            while (true) answerOne(input, output, answersPings)
        } catch (_: IOException) {
            // The dialer has closed the connection.
            ended.countDown()
        }
    }

    private fun answerOne(
        input: DataInputStream,
        output: DataOutputStream,
        answersPings: Boolean,
    ) {
        val message = incoming.decode(ByteArray(input.readInt()).also { input.readFully(it) }).getOrNull()
        if (message is ToScheduler.Ping) pings.incrementAndGet()
        val reply =
            when (message) {
                is ToScheduler.EntryHello -> FromScheduler.Welcome(Epoch(1))
                is ToScheduler.Ping -> FromScheduler.Pong(isStoreAvailable = true).takeIf { answersPings }
                else -> null
            } ?: return
        send(output, reply)
    }

    private class RecordingListener(
        private val address: String,
    ) : SchedulerConnectionListener {
        val connected = AtomicInteger()
        val disconnected = AtomicInteger()
        val messages = AtomicInteger()
        override var needsPingsOnlyInSilence = false
        var failure: IllegalStateException? = null

        override fun addresses() = listOf(address)

        override fun hello() = ToScheduler.EntryHello(PROTOCOL_VERSION, "entry")

        override fun onConnected(
            epoch: Epoch,
            address: String,
            connection: FramedConnection<ToScheduler, FromScheduler>,
        ) {
            connected.incrementAndGet()
        }

        override fun onMessage(message: FromScheduler) {
            messages.incrementAndGet()
            failure?.let { throw it }
        }

        override fun isCurrent() = true

        override fun onDisconnected() {
            disconnected.incrementAndGet()
        }
    }

    private companion object {
        private const val CONNECTIONS_MAXIMUM = 10
        private const val POLL_MILLIS = 20L

        /** Much longer than the silence after which a connection is closed. */
        private const val TIMEOUT_MILLIS = 10_000L

        /** More pings than the dialer sends during the silence that ends a connection. */
        private const val PINGS_MINIMUM = 5

        /** Messages of three ping intervals. */
        private const val MESSAGES_MINIMUM = 60
    }
}
