/*
 * Writes to a socket and suspends while it takes no bytes. The write channel of Ktor 3.5 repeats such a write at once,
 * so that a peer that does not read, or a burst of messages, keeps a thread busy.
 */
package org.greengagepass.protocol.connection

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Writes to [socket], which is registered with [selector]. Used by one coroutine at a time. */
internal class SocketWriter(
    socket: Socket,
    private val selector: SelectorManager,
) {
    private val selectable = socket as Selectable
    private val channel = selectable.channel as SocketChannel

    /** Writes all bytes of [buffer]. Throws an IOException if the connection ends first. */
    suspend fun write(buffer: ByteBuffer) {
        while (buffer.hasRemaining()) {
            if (channel.write(buffer) == 0) awaitWritable()
        }
    }

    private suspend fun awaitWritable() {
        selectable.interestOp(SelectInterest.WRITE, true)
        try {
            selector.select(selectable, SelectInterest.WRITE)
        } finally {
            selectable.interestOp(SelectInterest.WRITE, false)
        }
    }
}
