/*
 * A relay in front of a TCP server that can fall silent: connections stay open and carry nothing any more, while new
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
    private val silences = CopyOnWriteArrayList<AtomicBoolean>()
    private val sockets = CopyOnWriteArrayList<Socket>()
    val port: Int = server.localPort
    val bytes = AtomicLong()

    init {
        thread(isDaemon = true) { runUntilClosed { while (true) accept() } }
    }

    /** Silences all present connections for good. */
    fun silence() = silences.forEach { it.set(true) }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        val client = server.accept()
        val target = Socket(InetAddress.getLoopbackAddress(), targetPort)
        val silent = AtomicBoolean()
        silences += silent
        sockets += listOf(client, target)
        thread(isDaemon = true) { runUntilClosed { copy(client, target, silent) } }
        thread(isDaemon = true) { runUntilClosed { copy(target, client, silent) } }
    }

    private fun copy(
        from: Socket,
        to: Socket,
        silent: AtomicBoolean,
    ) {
        val buffer = ByteArray(4_096)
        while (true) {
            val count = from.getInputStream().read(buffer)
            if (count < 0) return if (silent.get()) Unit else to.close()
            bytes.addAndGet(count.toLong())
            if (!silent.get()) to.getOutputStream().write(buffer, 0, count)
        }
    }

    private fun runUntilClosed(block: () -> Unit) =
        try {
            block()
        } catch (_: IOException) {
            // The test has closed the sockets.
        }
}
