/*
 * The operators' commands against a server with prepared answers.
 */
package org.greengagepass.entry.process

import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import com.sun.net.httpserver.HttpServer
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.GreengagepassCommand
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.ApiResult
import org.greengagepass.entry.request.apiJson
import org.greengagepass.entry.request.httpStatus
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.containsExactly
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isNotEqualTo
import java.net.InetSocketAddress

private const val HTTP_OK = 200

class OperatorCommandTest {
    private class Received(
        val method: String,
        val uri: String,
        val headers: Map<String, String>,
        val body: String,
    )

    private val received = ArrayList<Received>()
    private val answers = ArrayDeque<Pair<Int, String>>()
    private val server =
        HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0).apply {
            createContext("/") { exchange ->
                val body = exchange.requestBody.readAllBytes().decodeToString()
                val headers = exchange.requestHeaders.mapValues { it.value.first() }
                received += Received(exchange.requestMethod, exchange.requestURI.toString(), headers, body)
                val (status, answer) = answers.removeFirst()
                exchange.sendResponseHeaders(status, answer.length.toLong())
                exchange.responseBody.use { it.write(answer.encodeToByteArray()) }
            }
            start()
        }

    @AfterEach
    fun stopServer() {
        server.stop(0)
    }

    /** Guards against exit codes that let a script repeat a change that may have happened. */
    @Test
    fun `the exit code shows whether the change may have happened`() {
        ResultCode.entries.filter { it != ResultCode.OK }.forEach { code ->
            val result = ApiError(code, "what to change").toResult()
            answers += code.httpStatus().value to apiJson.encodeToString(ApiResult.serializer(), result)
            val expected =
                when (code.number) {
                    in 100..199 -> EXIT_CODE_NOT_RUN
                    in 200..299 -> EXIT_CODE_RAN
                    in 300..399 -> EXIT_CODE_UNKNOWN
                    else -> EXIT_CODE_NO_ANSWER
                }
            val run = run("failure-domains out port --reason repair")
            expectThat(run.statusCode).isEqualTo(expected)
            expectThat(run.stderr).contains("${code.number} ${code.name}: what to change")
        }
    }

    /** Guards against changes that are recorded under no operator or that can't be repeated safely. */
    @Test
    fun `a change carries the operator, the token, a key and the expected version`() {
        answers += HTTP_OK to """{"version":7}"""
        val run = run("profiles publish counter --expected-version 5 --service-class QUICK --token secret")
        expectThat(run.statusCode).isEqualTo(0)
        val call = received.single()
        expectThat("${call.method} ${call.uri}").isEqualTo("PUT /v1/profiles/counter")
        expectThat(call.headers["Operator"]).isEqualTo("amira")
        expectThat(call.headers["Authorization"]).isEqualTo("Bearer secret")
        expectThat(call.headers["Idempotency-key"].orEmpty()).isNotEqualTo("")
        expectThat(call.body).contains("\"expectedVersion\":5")
    }

    /** Guards against overwriting another operator's change unseen. */
    @Test
    fun `publishing without the expected version is refused before any call`() {
        expectThat(run("profiles publish counter --service-class QUICK").statusCode).isEqualTo(1)
        expectThat(received).hasSize(0)
    }

    /** Guards against lists that end after the first page. */
    @Test
    fun `a list is read to the last page`() {
        answers += HTTP_OK to """{"items":[{"host":"w1","rack":"r"}],"next":"w1"}"""
        answers += HTTP_OK to """{"items":[{"host":"w2","rack":"r"}]}"""
        val run = run("workers list")
        expectThat(
            run.stdout
                .lines()
                .drop(1)
                .map { it.substringBefore(' ') },
        ).containsExactly("w1", "w2", "")
        expectThat(received.map { it.uri }).containsExactly("/v1/workers", "/v1/workers?after=w1")
    }

    /** Guards against a status that does not show who took the domain out of service, and when. */
    @Test
    fun `the status names the operator and the time of the latest change`() {
        answers += HTTP_OK to
            """{"items":[{"name":"port","history":[{"isOut":false,"operator":"a","recordedAtEpochMillis":0},
                |{"isOut":true,"operator":"salma","reason":"repair","recordedAtEpochMillis":1000,"version":3}]}]}
            """.trimMargin()
        val run = run("failure-domains status")
        expectThat(run.stdout).contains("port  out     1970-01-01T00:00:01Z  salma     repair  3")
    }

    /** Guards against names that lead to another route, for example by a slash. */
    @Test
    fun `a name is one segment of the path`() {
        answers += HTTP_OK to "{}"
        run("tasks show a/../b?c")
        expectThat(received.single().uri).isEqualTo("/v1/tasks/a%2F..%2Fb%3Fc")
    }

    /** Guards against a success code for an answer that is not an entry's, and for no answer. */
    @Test
    fun `an answer that is not an entry's and no answer give exit code 6`() {
        answers += HTTP_OK to "<html>"
        expectThat(run("tasks why t1 --output json").statusCode).isEqualTo(EXIT_CODE_NO_ANSWER)
        server.stop(0)
        expectThat(run("tasks why t1").statusCode).isEqualTo(EXIT_CODE_NO_ANSWER)
    }

    private fun run(arguments: String): CliktCommandTestResult {
        val common = listOf("--entry", "http://127.0.0.1:${server.address.port}", "--operator", "amira")
        return GreengagepassCommand().test(arguments.split(' ') + common)
    }
}
