/*
 * Relay in front of a TCP server that can go silent: existing connections stay open but transmit nothing, while new
 * ones work.
 */
package org.greengagepass.agent

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

internal class Relay(
    private val targetPort: Int,
) : AutoCloseable {
    private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
    private val silenceFlags = CopyOnWriteArrayList<AtomicBoolean>()
    private val sockets = CopyOnWriteArrayList<Socket>()
    val port: Int = server.localPort
    val bytes = AtomicLong()

    init {
        thread(isDaemon = true) { runUntilClosed { while (true) accept() } }
    }

    /** Silences all existing connections permanently. */
    fun silence() = silenceFlags.forEach { it.set(true) }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        val client = server.accept()
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        val isSilent = AtomicBoolean()
        silenceFlags += isSilent
        sockets += listOf(client, target)
        thread(isDaemon = true) { runUntilClosed { copy(client, target, isSilent) } }
        thread(isDaemon = true) { runUntilClosed { copy(target, client, isSilent) } }
    }

    private fun copy(
        from: Socket,
        to: Socket,
        isSilent: AtomicBoolean,
    ) {
        val buffer = ByteArray(4_096)
        while (true) {
            val count = from.getInputStream().read(buffer)
            if (count < 0) return if (isSilent.get()) Unit else to.close()
            bytes.addAndGet(count.toLong())
            if (!isSilent.get()) to.getOutputStream().write(buffer, 0, count)
        }
    }

    private fun runUntilClosed(block: () -> Unit) =
        try {
            block()
        } catch (_: IOException) {
            // The test has closed the sockets.
        }
}
