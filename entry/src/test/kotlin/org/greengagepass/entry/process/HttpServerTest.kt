/*
 * Shutdown of the HTTP server, and its answers to calls that match no route.
 */
package org.greengagepass.entry.process

import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

private const val SLOW_MILLIS = 700L
private const val GRACE_MILLIS = 10_000L

class HttpServerTest {
    /** Guards against an engine that cancels calls in progress when it is stopped. */
    @Test
    fun `a call in progress is answered in full when the server stops`() =
        runBlocking<Unit>(Dispatchers.IO) {
            val started = CompletableDeferred<Unit>()
            val server =
                httpServer {
                    get("/v1/slow") {
                        started.complete(Unit)
                        delay(SLOW_MILLIS)
                        call.respondText("whole answer")
                    }
                }
            val url = "http://127.0.0.1:${server.start()}"
            val answer = async { httpGet("$url/v1/slow") }
            started.await()
            server.stop(GRACE_MILLIS)
            expectThat(answer.await().body()).isEqualTo("whole answer")
        }

    /** Guards against a process that never stops because one call never ends. */
    @Test
    fun `the server stops after the grace time although a call is still in progress`() =
        runBlocking<Unit>(Dispatchers.IO) {
            val started = CompletableDeferred<Unit>()
            val server =
                httpServer {
                    get("/v1/endless") {
                        started.complete(Unit)
                        delay(Long.MAX_VALUE)
                    }
                }
            val url = "http://127.0.0.1:${server.start()}"
            async { runCatching { httpGet("$url/v1/endless") } }.also { started.await() }
            val begin = System.nanoTime()
            server.stop(SLOW_MILLIS)
            expectThat((System.nanoTime() - begin) / NANOS_PER_MILLI).isLessThan(STOP_MILLIS_MAXIMUM)
        }

    /** Guards against answers without a result code for wrong paths and methods. */
    @Test
    fun `a call that matches no route gets an error with a code`() =
        runBlocking<Unit>(Dispatchers.IO) {
            val server = httpServer { get("/v1/known") { call.respondText("known") } }
            val url = "http://127.0.0.1:${server.start()}"
            expectThat(httpGet("$url/v1/unknown").body()).contains("\"code\":113")
            expectThat(httpPost("$url/v1/known", "").body()).contains("\"code\":113")
            server.stop(GRACE_MILLIS)
        }

    private fun httpServer(routes: Route.() -> Unit): HttpServer =
        HttpServer(host = "127.0.0.1", port = 0, observation = testObservation(), installRoutes = routes)

    private companion object {
        private const val NANOS_PER_MILLI = 1_000_000L

        /** The grace time, the time for idle connections, and as much again for a busy machine. */
        private const val STOP_MILLIS_MAXIMUM = 4_000L
    }
}
