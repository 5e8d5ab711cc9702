/*
 * Listens for TCP connections and passes each one to a handler in a coroutine of its own. An unexpected error in the
 * handler closes its connection. A connection that can't be accepted, for example because the process has no free file
 * descriptor, does not end the listener.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import java.io.IOException

/** Accepts connections on [host] and [port]. Port 0 selects a free one. */
public class TcpListener(
    private val selector: SelectorManager,
    private val host: String,
    private val port: Int,
    private val onConnection: suspend (Socket) -> Unit,
) {
    private lateinit var serverSocket: ServerSocket

    @Volatile
    private var isClosed = false

    /** Port of the listener; available once [start] has returned. */
    public val boundPort: Int
        get() = (serverSocket.localAddress as InetSocketAddress).port

    /** Binds the port and accepts connections in [scope]. */
    public suspend fun start(scope: CoroutineScope) {
        serverSocket = aSocket(selector).tcp().bind(host, port) { reuseAddress = true }
        scope.launch { acceptUntilClosed(scope) }
    }

    /** Accepts no more connections. Accepted ones stay open. */
    public fun close() {
        isClosed = true
        serverSocket.close()
    }

    private suspend fun acceptUntilClosed(scope: CoroutineScope) =
        repeatUntilClosed(
            isClosed = { isClosed },
            onFailure = { logger.warn("no connection accepted on port {}: {}", port, it.message) },
        ) {
            val socket = serverSocket.accept()
            scope.launch { serve(socket) }
        }

    private suspend fun serve(socket: Socket) {
        Either.catch { onConnection(socket) }.onLeft {
            logger.error("unexpected error on a connection to port {}, which is closed", port, it)
            socket.close()
        }
    }

    private companion object {
        private val logger = LogManager.getLogger(TcpListener::class.java)
    }
}

private const val ACCEPT_RETRY_MILLIS = 100L

/** Runs [accept] until [isClosed]. After an error, which [onFailure] receives, runs it again. */
internal suspend fun repeatUntilClosed(
    isClosed: () -> Boolean,
    onFailure: (IOException) -> Unit,
    accept: suspend () -> Unit,
) {
    while (!isClosed()) {
        try {
            accept()
        } catch (cause: IOException) {
            if (isClosed()) return
            onFailure(cause)
            delay(ACCEPT_RETRY_MILLIS)
        }
    }
}
