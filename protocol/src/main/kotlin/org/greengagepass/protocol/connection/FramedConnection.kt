/*
 * Connection that carries frames: the length in four bytes, most significant first, and a message. A single coroutine
 * writes, so frames are never interleaved. Its queue is bounded: when the peer does not read, sending fails instead of
 * filling memory.
 */
package org.greengagepass.protocol.connection

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.greengagepass.core.ResultCode
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Connection that sends messages of type [O] and receives messages of type [I]. [selector] is the one that [socket]
 * was opened with.
 */
public class FramedConnection<O, I>(
    private val socket: Socket,
    selector: SelectorManager,
    private val outgoing: MessageCodec<O>,
    private val incoming: MessageCodec<I>,
) {
    private val reader: ByteReadChannel = socket.openReadChannel()
    private val writer = SocketWriter(socket, selector)
    private val queue = Channel<O>(QUEUED_FRAMES_MAXIMUM)

    /** Address of the peer. */
    public val remoteAddress: String = socket.remoteAddress.toString()

    /** Starts the coroutine that writes queued messages; it ends with the connection. */
    public fun start(scope: CoroutineScope) {
        scope.launch { writeQueued() }
    }

    /** Queues [message]. Returns false if the connection is closed or its queue is full. */
    public fun send(message: O): Boolean = queue.trySend(message).isSuccess

    /**
     * Queues [message], or closes the connection if its queue is full. For messages that the peer waits for and that
     * are sent anew over the next connection.
     */
    public fun sendOrClose(message: O) {
        if (!send(message)) close()
    }

    /** Returns the next message, or why there will be none. */
    public suspend fun receive(): Either<CodecError, I> =
        try {
            receiveFrame()
        } catch (cause: IOException) {
            CodecError(ResultCode.AGENT_LOST, "the connection ended: ${cause.message}").left()
        }

    /** Closes the connection and drops the queued messages. */
    public fun close() {
        queue.close()
        socket.close()
    }

    /** Closes the connection after writing the messages that are already queued. */
    public fun closeAfterQueued() {
        queue.close()
    }

    private suspend fun receiveFrame(): Either<CodecError, I> {
        val length = reader.readInt()
        if (length !in 1..FRAME_BYTES_MAXIMUM) {
            return CodecError(ResultCode.TOO_LARGE, "frame of $length bytes; allowed are 1 to $FRAME_BYTES_MAXIMUM")
                .left()
        }
        val bytes = reader.readByteArray(length)
        return incoming.decode(bytes).fold({ it.left() }, { it.right() })
    }

    private suspend fun writeQueued() {
        try {
            for (message in queue) {
                writeFrame(outgoing.encode(message))
            }
        } catch (_: IOException) {
            queue.close()
        } finally {
            socket.close()
        }
    }

    private suspend fun writeFrame(bytes: ByteArray) {
        val frame = ByteBuffer.allocate(Int.SIZE_BYTES + bytes.size)
        writer.write(frame.putInt(bytes.size).put(bytes).flip())
    }

    private companion object {
        /** Frames queued before a send fails; more than a peer that reads leaves queued. */
        private const val QUEUED_FRAMES_MAXIMUM = 1_024
    }
}
