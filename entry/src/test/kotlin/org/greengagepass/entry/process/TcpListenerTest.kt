package org.greengagepass.entry.process

import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import java.io.IOException
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

    @Test
    fun `a connection that can not be accepted does not end the listener`() =
        runTest {
            // Guards against a process that accepts nothing more after it was out of file descriptors once.
            var attempts = 0
            val failures = ArrayList<IOException>()
            repeatUntilClosed(isClosed = { attempts >= 3 }, onFailure = { failures += it }) {
                attempts += 1
                if (attempts == 1) throw IOException("Too many open files")
            }
            expectThat(attempts).isEqualTo(3)
            expectThat(failures.map { it.message }).isEqualTo(listOf("Too many open files"))
        }

    private companion object {
        private const val TIMEOUT_MILLIS = 60_000
        private const val END_OF_STREAM = -1
    }
}
