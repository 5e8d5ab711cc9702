/*
 * Authorisation of operators' calls.
 */
package org.greengagepass.entry.process

import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.util.concurrent.atomic.AtomicInteger

private const val TOKEN = "operators-secret"

class OperatorAuthorisationTest {
    private val handled = AtomicInteger()

    /** Guards against spellings of the path that reach the route without the check, and against wrong tokens. */
    @Test
    fun `a call without the token never reaches the route`() =
        withServer(TOKEN) { url ->
            val paths = listOf("/v1/profiles", "/v1/%70rofiles", "//v1//profiles", "/v1/profiles?x=1")
            val headers = listOf("", "Bearer ", "Bearer wrong", "Bearer ${TOKEN}x", "Bearer ${TOKEN.dropLast(1)}")
            paths.forEach { path ->
                headers.forEach { header ->
                    val answer = httpGet(url + path, "Authorization" to header)
                    expectThat(answer.body()).describedAs("$path with '$header'").contains("\"code\":111")
                    expectThat(answer.body().contains(TOKEN)).isEqualTo(false)
                }
            }
            expectThat(handled.get()).isEqualTo(0)
        }

    /** Guards against a check that refuses operators with the token, or callers, who need none. */
    @Test
    fun `operators' calls are accepted with the token and callers' calls without`() =
        withServer(TOKEN) { url ->
            expectThat(httpGet("$url/v1/profiles", "Authorization" to "Bearer $TOKEN").body()).isEqualTo("profiles")
            expectThat(httpGet("$url/v1/open").body()).isEqualTo("open")
        }

    /** Guards against an entry without a token that refuses all calls. */
    @Test
    fun `an entry without a token accepts all calls`() =
        withServer(null) { url -> expectThat(httpGet("$url/v1/profiles").body()).isEqualTo("profiles") }

    private fun withServer(
        token: String?,
        test: (String) -> Unit,
    ) = runBlocking<Unit>(Dispatchers.IO) {
        val server =
            HttpServer("127.0.0.1", port = 0, observation = testObservation()) {
                get("/v1/open") { call.respondText("open") }
                operatorRoutes(token) {
                    get("/v1/profiles") {
                        handled.incrementAndGet()
                        call.respondText("profiles")
                    }
                }
            }
        try {
            test("http://127.0.0.1:${server.start()}")
        } finally {
            server.stop(0)
        }
    }
}
