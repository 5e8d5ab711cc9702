/*
 * The connection against a peer that stops reading for a while, so that the socket takes no more bytes.
 */
package org.greengagepass.protocol.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

class FramedConnectionTest {
    private val server = ServerSocket(0, CONNECTIONS_MAXIMUM, InetAddress.getLoopbackAddress())
    private val codec = MessageCodec(FromScheduler.serializer())

    @AfterEach
    fun close() = server.close()

    @Test
    fun `a peer that does not read costs no processor time`() =
        connect { connection, _ ->
            // Guards against a write that is repeated at once for as long as the socket takes no bytes.
            fill(connection)
            val before = processorMillis()
            delay(MEASURED_MILLIS)
            expectThat(processorMillis() - before).isLessThan(PROCESSOR_MILLIS_MAXIMUM)
        }

    @Test
    fun `a peer that reads again receives all messages in order`() =
        connect { connection, peer ->
            // Guards against bytes that are lost or repeated after a write that the socket took in part.
            val sent = fill(connection)
            val received =
                withTimeoutOrNull(TIMEOUT_MILLIS) {
                    withContext(Dispatchers.IO) { receive(peer, sent) }
                }
            expectThat(received).isNotNull().isEqualTo(List(sent) { message(it) })
            expectThat(connection.send(message(sent))).isTrue()
        }

    @Test
    fun `closing a connection whose peer does not read ends its writer`() =
        connect { connection, _ ->
            // Guards against a coroutine and a socket for each silent peer that stay until the process ends.
            fill(connection)
            connection.close()
            val isEnded = withTimeoutOrNull(TIMEOUT_MILLIS) { writers(this@connect).joinAll() }
            expectThat(isEnded).isNotNull()
            expectThat(connection.send(message(0))).isFalse()
        }

    private fun connect(
        check: suspend CoroutineScope.(FramedConnection<FromScheduler, FromScheduler>, Socket) -> Unit,
    ) = runBlocking {
        FrameConnector(Dispatchers.IO).use { connector ->
            val scope = CoroutineScope(Job() + Dispatchers.Default)
            val connection =
                connector.connect("127.0.0.1:${server.localPort}", codec, codec, TIMEOUT_MILLIS).getOrNull()!!
            connection.start(scope)
            server.accept().use { scope.check(connection, it) }
            connection.close()
            scope.coroutineContext.cancelChildren()
        }
    }

    private fun writers(scope: CoroutineScope) =
        scope.coroutineContext[Job]!!
            .children
            .toList()

    /** Queues messages until the queue is full, as the socket takes no more. Returns their number. */
    private suspend fun fill(connection: FramedConnection<FromScheduler, FromScheduler>): Int {
        var sent = 0
        var refused = 0
        while (refused < REFUSALS) {
            if (connection.send(message(sent))) {
                sent += 1
                refused = 0
            } else {
                refused += 1
                delay(POLL_MILLIS)
            }
        }
        return sent
    }

    private fun message(number: Int) = FromScheduler.NotLeading("$number".padEnd(MESSAGE_LENGTH, '.'))

    private fun receive(
        peer: Socket,
        count: Int,
    ): List<FromScheduler?> {
        val input = DataInputStream(peer.getInputStream().buffered())
        return List(count) { codec.decode(ByteArray(input.readInt()).also(input::readFully)).getOrNull() }
    }

    /** Processor time of all Java threads of the process. */
    private fun processorMillis(): Long {
        val threads = ManagementFactory.getThreadMXBean()
        return threads.allThreadIds.sumOf { threads.getThreadCpuTime(it).coerceAtLeast(0) } / NANOS_PER_MILLI
    }

    private companion object {
        private const val CONNECTIONS_MAXIMUM = 1
        private const val POLL_MILLIS = 20L
        private const val TIMEOUT_MILLIS = 10_000L
        private const val NANOS_PER_MILLI = 1_000_000L

        /** Polls without room in the queue after which the socket is full too. */
        private const val REFUSALS = 15

        /** Longer than the buffers of a socket divided by the messages that a connection queues. */
        private const val MESSAGE_LENGTH = 20_000

        private const val MEASURED_MILLIS = 2_000L

        /** A tenth of the measured time; a thread that is never idle uses most of it. */
        private const val PROCESSOR_MILLIS_MAXIMUM = 200L
    }
}
