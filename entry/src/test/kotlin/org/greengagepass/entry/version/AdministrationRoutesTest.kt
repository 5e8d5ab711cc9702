/*
 * Operators' changes over HTTP, with a log in memory.
 */
package org.greengagepass.entry.version

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.greengagepass.core.BatchCodec
import org.greengagepass.core.version.ConfigurationBatch
import org.greengagepass.core.version.ConfigurationRecord
import org.greengagepass.entry.process.HttpServer
import org.greengagepass.entry.process.MemoryLog
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.process.StreamAppender
import org.greengagepass.entry.process.StreamFollower
import org.greengagepass.entry.process.httpGet
import org.greengagepass.entry.process.httpPost
import org.greengagepass.entry.process.testObservation
import org.greengagepass.entry.request.BODY_BYTES_MAXIMUM
import org.greengagepass.entry.request.HEADER_LENGTH_MAXIMUM
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo

private const val VALID = """{"reason":"repair"}"""

class AdministrationRoutesTest {
    private val decisions = Dispatchers.Default.limitedParallelism(1)
    private val scope = CoroutineScope(decisions)
    private val log = MemoryLog()
    private val appender =
        StreamAppender<ConfigurationRecord>(log, CONFIGURATION_STREAM, windowMillis = 0) { sequence, records ->
            BatchCodec.CONFIGURATION.encode(ConfigurationBatch("test", sequence, records))
        }
    private val configuration = ConfigurationService(appender)
    private val server =
        HttpServer("127.0.0.1", port = 0, observation = testObservation()) {
            AdministrationRoutes(configuration, decisions).install(this)
        }
    private lateinit var url: String

    @BeforeEach
    fun start() =
        runBlocking {
            scope.launch { appender.run() }
            scope.launch {
                StreamFollower(log, CONFIGURATION_STREAM, MonotonicClock.SYSTEM, onPage = configuration::onPage).run()
            }
            url = "http://127.0.0.1:${server.start()}"
            while (!configuration.isLogAvailable) delay(1)
        }

    @AfterEach
    fun stop() =
        runBlocking {
            server.stop(0)
            scope.cancel()
        }

    /** Guards against refused calls that change the configuration. */
    @Test
    fun `random and mutated bodies are refused with a code and append nothing`() =
        runBlocking<Unit> {
            checkAll(PropTestConfig(iterations = 200), Arb.byteArray(Arb.int(0..60), Arb.byte())) { expectRefused(it) }
            VALID.indices.forEach { index -> expectRefused(VALID.removeRange(index, VALID.length).encodeToByteArray()) }
            expectRefused(VALID.replace("reason", "raison").encodeToByteArray())
            expectRefused(VALID.replace("\"repair\"", "5").encodeToByteArray())
            expectRefused(ByteArray(BODY_BYTES_MAXIMUM.toInt() + 1) { 'a'.code.toByte() })
            expectThat(log.appends).isEqualTo(0)
        }

    /** Guards against keeping invalid names and headers in the log. */
    @Test
    fun `invalid names and headers are refused and append nothing`() {
        expectThat(httpPost("$url/v1/failure-domains/a%20b/out", VALID).body()).contains("\"code\":120")
        val header = "Idempotency-Key" to "k".repeat(HEADER_LENGTH_MAXIMUM + 1)
        expectThat(httpPost("$url/v1/failure-domains/port/out", VALID, header).body()).contains("\"code\":120")
        expectThat(httpGet("$url/v1/profiles?limit=many").body()).contains("\"code\":120")
        expectThat(log.appends).isEqualTo(0)
    }

    /** Guards against a repeated call that changes the configuration twice, and against a change lost in a race. */
    @Test
    fun `a repeat with the same key gives the same version and a race gives a conflict`() {
        val path = "$url/v1/failure-domains/port/out"
        val key = "Idempotency-Key" to "key-1"
        val first = httpPost(path, VALID, key, "Operator" to "amira")
        val repeat = httpPost(path, VALID, key, "Operator" to "amira")
        expectThat(first.body()).contains("\"version\":")
        expectThat(repeat.body()).isEqualTo(first.body())
        val raced = httpPost(path, """{"reason":"x","expectedVersion":-1}""", "Operator" to "salma")
        expectThat(raced.statusCode()).isEqualTo(CONFLICT)
        expectThat(raced.body()).contains("\"code\":112")
        expectThat(httpGet("$url/v1/failure-domains").body()).contains("\"operator\":\"amira\"")
    }

    private fun expectRefused(body: ByteArray) {
        val answer = httpPost("$url/v1/failure-domains/port/out", body)
        expectThat(answer.statusCode()).isGreaterThanOrEqualTo(BAD_REQUEST)
        expectThat(answer.body()).contains("\"code\":10").contains("\"outcome\":\"notRun\"")
    }

    private companion object {
        private const val BAD_REQUEST = 400
        private const val CONFLICT = 409
    }
}
