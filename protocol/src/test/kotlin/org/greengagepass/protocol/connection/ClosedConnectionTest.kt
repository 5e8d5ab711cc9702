/*
 * A connection over a real socket whose peer accepts it and never reads.
 */
package org.greengagepass.protocol.connection

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.greengagepass.core.ResultCode
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectCatching
import strikt.assertions.isSuccess
import java.net.InetAddress
import java.net.ServerSocket

class ClosedConnectionTest {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    private val codec = MessageCodec(EntryMessage.serializer())

    @AfterEach
    fun close() = server.close()

    @Test
    fun `closing a connection whose peer has stopped reading raises no error in its scope`() {
        // Guards against the end of the coroutine that would connect again, and with it of all further connections.
        expectCatching {
            runBlocking {
                FrameConnector(Dispatchers.IO).use { connector ->
                    withTimeout(
                        TIMEOUT_MILLIS,
                    ) { coroutineScope { blockWriter(open(connector).also { it.start(this) }) } }
                }
            }
        }.isSuccess()
    }

    private suspend fun open(connector: FrameConnector): FramedConnection<EntryMessage, EntryMessage> =
        connector
            .connect("127.0.0.1:${server.localPort}", codec, codec, TIMEOUT_MILLIS)
            .fold({ error(it.detail) }, { it })

    /** Fills the buffers of both sides until the writing coroutine is blocked, and closes [connection]. */
    private suspend fun blockWriter(connection: FramedConnection<EntryMessage, EntryMessage>) {
        val message = EntryMessage.Refusal(ResultCode.OVERLOADED, "x".repeat(FRAME_BYTES_MAXIMUM / 2))
        while (connection.send(message)) delay(POLL_MILLIS)
        connection.close()
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 20_000L
        private const val POLL_MILLIS = 1L
    }
}
