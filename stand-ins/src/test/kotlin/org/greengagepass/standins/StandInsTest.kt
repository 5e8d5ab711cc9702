/*
 * The stand-ins over HTTP with the clients of the services module: what a client may conclude from each fault.
 */
package org.greengagepass.standins

import io.ktor.server.engine.EmbeddedServer
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.services.process.ANSWER_BYTES_MAXIMUM
import org.greengagepass.services.process.HttpLogService
import org.greengagepass.services.process.HttpUpstreamService
import org.greengagepass.services.process.HttpWorkerService
import org.greengagepass.services.process.PlatformError
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.UpstreamRequest
import org.greengagepass.services.process.platformHttpClient
import org.greengagepass.standins.process.LogRoutes
import org.greengagepass.standins.process.LogStore
import org.greengagepass.standins.process.SimulatedWorker
import org.greengagepass.standins.process.WorkerRoutes
import org.greengagepass.standins.process.startServer
import org.greengagepass.standins.request.Executor
import org.greengagepass.standins.request.ExecutorBehaviour
import org.greengagepass.standins.request.ExecutorRoutes
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.net.URI
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Executors
import kotlin.random.Random

class StandInsTest {
    private var nowMillis = 0L
    private val store = LogStore { nowMillis }
    private val executor = Executor("executor", slots = 1, Random(1))
    private val servers = mutableListOf<EmbeddedServer<*, *>>()
    private val client = platformHttpClient(Executors.newSingleThreadExecutor { Thread(it).apply { isDaemon = true } })
    private val logAddress = serve { LogRoutes(store).install(this) }
    private val executorAddress = serve { ExecutorRoutes(executor).install(this) }
    private val log = HttpLogService(client, logAddress)
    private val upstreams = HttpUpstreamService(client)

    @AfterEach
    fun stop() = servers.forEach { it.stop(0, 0) }

    /** Guards against records that are read with changed content, out of order or with the wrong offset. */
    @Test
    fun `appended bytes are read back in order`(): Unit =
        runBlocking {
            val payloads = List(3) { Random(it).nextBytes(1_000) }
            expectThat(payloads.map { log.append("tasks-0", it).getOrNull() }).isEqualTo(listOf(0L, 1L, 2L))
            val page = requireNotNull(log.read("tasks-0", 1, 0).getOrNull())
            expectThat(page.records.map { it.payload.toList() }).isEqualTo(payloads.drop(1).map { it.toList() })
            expectThat(page.nextOffset).isEqualTo(3)
        }

    /** Guards against readers that poll, or that mistake a stream without new records for an outage. */
    @Test
    fun `a read waits for the next record and returns an empty page when none is appended`(): Unit =
        runBlocking {
            val reading = async { log.read("tasks-0", 0, 5_000) }
            delay(200)
            log.append("tasks-0", byteArrayOf(1))
            expectThat(
                reading
                    .await()
                    .getOrNull()
                    ?.records
                    .orEmpty(),
            ).hasSize(1)
            expectThat(log.read("tasks-0", 1, 100).getOrNull()?.records).isEqualTo(emptyList())
        }

    /** Guards against a reader that does not detect the records removed by retention. */
    @Test
    fun `expired records are removed and the oldest offset shows it`(): Unit =
        runBlocking {
            store.retentionMillis = 100
            log.append("tasks-0", byteArrayOf(1))
            nowMillis = 101
            log.append("tasks-0", byteArrayOf(2))
            val page = requireNotNull(log.read("tasks-0", 0, 0).getOrNull())
            expectThat(page.oldestOffset).isEqualTo(1)
            expectThat(page.records.map { it.offset }).isEqualTo(listOf(1L))
        }

    /** Guards against a writer that treats a lost answer as proof that nothing was appended. */
    @Test
    fun `a lost answer proves nothing, and a refusal during an outage proves that nothing was appended`(): Unit =
        runBlocking {
            control(logAddress, "/control/faults", """{"appendAnswersLost":1}""")
            expectThat(log.append("tasks-0", byteArrayOf(1)).leftOrNull()).isA<PlatformError.NoAnswer>()
            expectThat(
                log
                    .read("tasks-0", 0, 0)
                    .getOrNull()
                    ?.records
                    .orEmpty(),
            ).hasSize(1)
            control(logAddress, "/control/faults", """{"outage":true}""")
            expectThat(log.append("tasks-0", byteArrayOf(2)).leftOrNull())
                .isA<PlatformError.Refused>()
                .get { reason }
                .isEqualTo(RefusalReason.UNAVAILABLE)
            expectThat(log.read("tasks-0", 0, 0).isLeft()).isEqualTo(true)
            control(logAddress, "/control/faults", "{}")
            expectThat(
                log
                    .read("tasks-0", 0, 0)
                    .getOrNull()
                    ?.records
                    .orEmpty(),
            ).hasSize(1)
        }

    /** Guards against the outcome "not run" without proof, and against a truncated answer that counts as complete. */
    @Test
    fun `only a refused connection or an explicit refusal proves that a request did not run`(): Unit =
        runBlocking {
            expectThat(call("a")).isA<RequestOutcome.Ran>()
            executor.behaviour = ExecutorBehaviour(brokenAnswers = 1)
            expectThat(call("b")).isA<RequestOutcome.Unknown>()
            executor.behaviour = ExecutorBehaviour(serviceMillis = 2_000)
            val running = async { call("c", timeoutMillis = 5_000) }
            delay(300)
            expectThat(call("d").code).isEqualTo(ResultCode.OVERLOADED)
            running.await()
            expectThat(call("e", timeoutMillis = 300).code).isEqualTo(ResultCode.DEADLINE_PASSED)
            executor.close()
            expectThat(call("f").code).isEqualTo(ResultCode.DRAINING)
            expectThat(upstreams.call("http://127.0.0.1:1", request("g"), 500)).isA<RequestOutcome.NotRun>()
            expectThat(executor.statistics().runs.keys).isEqualTo(setOf("a", "b", "c", "e"))
        }

    /** Guards against an answer that closes the connection to the entry because it does not fit in a frame. */
    @Test
    fun `an answer that is too large is reported as an error of the upstream`(): Unit =
        runBlocking {
            val large = request("large").copy(body = "x".repeat(ANSWER_BYTES_MAXIMUM))
            expectThat(upstreams.call(executorAddress, large, 5_000).code).isEqualTo(ResultCode.UPSTREAM_ERROR)
        }

    /** Guards against refusals of the worker whose reason is lost on the way to the agent. */
    @Test
    fun `refusals of the worker keep their reason over HTTP`(): Unit =
        runBlocking {
            val simulated = SimulatedWorker("w", Resources(1_000, 1_000), usageLagMillis = 0)
            val worker = HttpWorkerService(client, serve { WorkerRoutes(simulated) { Timestamp(7) }.install(this) })
            expectThat(worker.report(Incarnation(1)).leftOrNull())
                .isA<PlatformError.Refused>()
                .get { reason }
                .isEqualTo(RefusalReason.STALE_INCARNATION)
            expectThat(worker.attach(Incarnation(1)).getOrNull()?.clock).isEqualTo(Timestamp(7))
            expectThat(worker.renew(Incarnation(1), emptyList(), Timestamp(9)).isRight()).isEqualTo(true)
        }

    private suspend fun call(
        id: String,
        timeoutMillis: Long = 1_000,
    ): RequestOutcome = upstreams.call(executorAddress, request(id), timeoutMillis)

    private fun request(id: String) =
        UpstreamRequest(RequestId(id), "traceparent", ServiceName("order"), WorkKind("confirm"), "body")

    private fun control(
        address: String,
        path: String,
        body: String,
    ) {
        val request =
            HttpRequest
                .newBuilder(URI.create("$address$path"))
                .header("Content-Type", "application/json")
                .PUT(HttpRequest.BodyPublishers.ofString(body))
                .build()
        expectThat(client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode()).isLessThan(300)
    }

    private fun serve(routes: io.ktor.server.routing.Routing.() -> Unit): String {
        val server = startServer(0, routes)
        servers += server
        return "http://127.0.0.1:${runBlocking {
            server.engine
                .resolvedConnectors()
                .first()
                .port
        }}"
    }
}
