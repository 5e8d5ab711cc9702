/*
 * Calls to the processes of a deployment, as callers, operators and tests make them.
 */
package org.greengagepass.endtoend

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.boolean
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import kotlinx.serialization.json.put
import org.greengagepass.standins.process.HistoryEvent
import org.greengagepass.standins.process.HistoryPage
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Response to a caller. [code] is a result code, or [CONNECTION_LOST] if the entry did not respond. */
data class CallResult(
    val code: Int,
    val body: JsonObject,
) {
    /** Outcome of the request: ran, notRun or unknown. */
    val outcome: String
        get() = body["outcome"]?.jsonPrimitive?.content.orEmpty()

    /** Body of the answer of the upstream. */
    val answer: String
        get() =
            body["answer"]
                ?.jsonObject
                ?.get("body")
                ?.jsonPrimitive
                ?.content
                .orEmpty()

    companion object {
        const val CONNECTION_LOST = -1
    }
}

/** Calls the processes of [deployment]. */
class TestClient(
    private val deployment: TestDeployment,
) {
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()
    private val json = Json { ignoreUnknownKeys = true }

    /** Publishes the profiles that the tests use, as soon as the first entry accepts them. */
    fun publishProfiles() {
        publishProfile("counter", """{"serviceClass":"QUICK","priority":"URGENT","deadlineMillis":5000}""")
        publishProfile("order", """{"serviceClass":"AT_MOST_ONCE","deadlineMillis":10000}""")
        publishProfile("batch", """{"serviceClass":"BATCH"}""")
        publishProfile("watch", """{"serviceClass":"STANDING"}""")
    }

    /** Sends a request and returns the response. */
    fun request(
        entry: TestEntry,
        profile: String,
        operation: String,
        body: String,
        idempotencyKey: String? = null,
    ): CallResult {
        val content =
            buildJsonObject {
                put("team", "regie")
                put("profile", profile)
                put("operation", operation)
                put("body", body)
            }
        val path = "${entry.url}/v1/services/${TestDeployment.SERVICE}/requests"
        return call("POST", path, content.toString(), idempotencyKey)
    }

    /** Submits a task that runs for [runMillis]. */
    fun submit(
        entry: TestEntry,
        taskId: String,
        runMillis: Long,
        kind: String = "pattern-render",
    ): CallResult {
        val content =
            buildJsonObject {
                put("team", "regie")
                put("profile", "batch")
                put("kind", kind)
                put("taskId", taskId)
                put("milliCores", 1_000)
                put("memoryMegabytes", 256)
                put("input", """{"runMillis":$runMillis,"milliCores":500,"memoryMegabytes":128}""")
            }
        return call("POST", "${entry.url}/v1/tasks", content.toString())
    }

    /** Returns the state of a task as [entry] shows it, or "none". */
    fun taskState(
        entry: TestEntry,
        taskId: String,
    ): String {
        val task = call("GET", "${entry.url}/v1/tasks/$taskId").body
        return task["state"]
            ?.jsonObject
            ?.get("type")
            ?.jsonPrimitive
            ?.content ?: "none"
    }

    /** Returns the number of the last recorded checkpoint of a task. */
    fun checkpointOf(
        entry: TestEntry,
        taskId: String,
    ): Long {
        val task = call("GET", "${entry.url}/v1/tasks/$taskId").body
        return task["checkpointNumber"]?.jsonPrimitive?.long ?: 0
    }

    /** Returns the host of a task, or null. */
    fun hostOf(
        entry: TestEntry,
        taskId: String,
    ): String? {
        val state = call("GET", "${entry.url}/v1/tasks/$taskId").body["state"]?.jsonObject
        return state
            ?.get("attempt")
            ?.jsonObject
            ?.get("host")
            ?.jsonPrimitive
            ?.content
    }

    /** Returns true if [entry] owns a partition. */
    fun ownsPartitions(entry: TestEntry): Boolean {
        val partitions = call("GET", "${entry.url}/v1/status").body["partitions"]?.jsonArray.orEmpty()
        return partitions.any {
            it.jsonObject
                .getValue("owned")
                .jsonPrimitive.boolean
        }
    }

    /** Takes a failure domain out of service or puts it back in service. */
    fun changeFailureDomain(
        entry: TestEntry,
        name: String,
        change: String,
        expectedVersion: Long? = null,
    ): CallResult {
        val content =
            buildJsonObject {
                put("reason", "test")
                expectedVersion?.let { put("expectedVersion", it) }
            }
        return call("POST", "${entry.url}/v1/failure-domains/$name/$change", content.toString())
    }

    /** Returns the failure domains as [entry] shows them. */
    fun failureDomains(entry: TestEntry): String = call("GET", "${entry.url}/v1/failure-domains").body.toString()

    /** Returns the number of requests that reached the executor of [host] while it drained; -1 once it has ended. */
    fun refusedAfterLeaving(host: String): Int =
        try {
            val executor = deployment.hosts.first { it.name == host }.executor
            val statistics = json.parseToJsonElement(get("$executor/statistics")).jsonObject
            statistics.getValue("refusedAfterLeaving").jsonPrimitive.int
        } catch (_: IOException) {
            -1
        }

    /** Sets the injected faults of the log. */
    fun setLogFaults(faults: String): CallResult = call("PUT", "${deployment.logUrl}/control/faults", faults)

    /** Returns all starts and ends of attempts on all workers, in chronological order. */
    fun history(): List<HistoryEvent> = historyPages().flatMap { it.events }.sortedBy { it.hostNanos }

    /** Returns the history of each worker, with its capacity and its highest usage. */
    fun historyPages(): List<HistoryPage> =
        deployment.hosts.map { json.decodeFromString(HistoryPage.serializer(), get("${it.worker}/history")) }

    /** Returns how often each request body ran on all executors. */
    fun runsByBody(): Map<String, Int> =
        deployment.hosts
            .map { json.parseToJsonElement(get("${it.executor}/statistics")).jsonObject }
            .flatMap { it.getValue("runsByBody").jsonObject.entries }
            .groupBy({ it.key }, { it.value.jsonPrimitive.int })
            .mapValues { it.value.sum() }

    private fun publishProfile(
        name: String,
        content: String,
    ) {
        awaitUntil("profile $name is published") {
            call("PUT", "${deployment.entries.first().url}/v1/profiles/$name", content, "profile-$name").code == 0
        }
    }

    private fun get(url: String): String =
        http
            .send(
                HttpRequest.newBuilder(URI(url)).timeout(CALL_TIMEOUT).build(),
                HttpResponse.BodyHandlers.ofString(),
            ).body()

    private fun call(
        method: String,
        url: String,
        content: String = "",
        idempotencyKey: String? = null,
    ): CallResult {
        val request = HttpRequest.newBuilder(URI(url)).timeout(CALL_TIMEOUT).header("Content-Type", "application/json")
        idempotencyKey?.let { request.header("Idempotency-Key", it) }
        request.method(method, HttpRequest.BodyPublishers.ofString(content))
        return try {
            val body = json.parseToJsonElement(http.send(request.build(), HttpResponse.BodyHandlers.ofString()).body())
            CallResult(body.jsonObject["code"]?.jsonPrimitive?.int ?: 0, body.jsonObject)
        } catch (_: IOException) {
            CallResult(CallResult.CONNECTION_LOST, JsonObject(emptyMap()))
        }
    }

    private companion object {
        private val CALL_TIMEOUT = Duration.ofSeconds(15)
    }
}

/** Waits until [condition] holds. Fails after [seconds] with a message that contains [what]. */
fun awaitUntil(
    what: String,
    seconds: Long = 30,
    condition: () -> Boolean,
) {
    val deadline = System.nanoTime() + seconds * 1_000_000_000
    while (!condition()) {
        check(System.nanoTime() < deadline) { "condition not met within $seconds s: $what" }
        Thread.sleep(50)
    }
}
