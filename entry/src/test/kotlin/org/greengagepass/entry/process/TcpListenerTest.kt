package org.greengagepass.entry.process

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.net.Socket

class TcpListenerTest {
    @Test
    fun `an error in the handler of a connection closes that connection`() {
        // Guards against clients that wait on a connection that nothing serves.
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
        val selector = SelectorManager(Dispatchers.IO)
        val listener = TcpListener(selector, "127.0.0.1", 0) { error("unexpected") }
        runBlocking { listener.start(scope) }
        repeat(2) {
            Socket("127.0.0.1", listener.boundPort).use { client ->
                client.soTimeout = TIMEOUT_MILLIS
                expectThat(client.getInputStream().read()).isEqualTo(END_OF_STREAM)
            }
        }
        listener.close()
        scope.cancel()
        selector.close()
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 60_000
        private const val END_OF_STREAM = -1
    }
}
