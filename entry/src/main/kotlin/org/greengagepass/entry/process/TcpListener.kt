/*
 * Listens for TCP connections and hands each one to a handler in a coroutine of its own.
 */
package org.greengagepass.entry.process

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.io.IOException

/** Accepts connections on [host] and [port]; port 0 takes a free one. */
public class TcpListener(
    private val selector: SelectorManager,
    private val host: String,
    private val port: Int,
    private val onConnection: suspend (Socket) -> Unit,
) {
    private lateinit var serverSocket: ServerSocket

    /** Port that the listener has taken; known once [start] has returned. */
    public val boundPort: Int
        get() = (serverSocket.localAddress as InetSocketAddress).port

    /** Takes the port and starts to accept in [scope]. */
    public suspend fun start(scope: CoroutineScope) {
        serverSocket = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { acceptUntilClosed(scope) }
    }

    /** Takes no more connections; those accepted live on. */
    public fun close() {
        serverSocket.close()
    }

    private suspend fun acceptUntilClosed(scope: CoroutineScope) {
        try {
            while (true) {
                val socket = serverSocket.accept()
                scope.launch { onConnection(socket) }
            }
        } catch (cause: IOException) {
            logger.info("listener on port {} ended: {}", port, cause.message)
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(TcpListener::class.java)
    }
}
