/*
 * Another writer sends heartbeats to an agent while tasks run. Guards against an agent that takes them for those of its
 * executor: the tasks then ran a second time elsewhere, or the host got no more work.
 */
package org.greengagepass.endtoend

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.greengagepass.platform.standin.ExecutorStandIn
import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class ForeignHeartbeatTest {
    @Test
    fun `heartbeats of another writer move no task and leave the host in use`() =
        withPlatform(hostCount = 2, entryCount = 1) { deployment, caller ->
            submit(deployment, caller, JOB, StandInSettings.job(tasks = TASKS, millis = 3_000, cpu = 500))
            awaitUntil("all tasks run") { deployment.history.runsOf(JOB).size == TASKS }
            deployment.hosts.forEach { sendForeignHeartbeats(it.executor) }
            awaitUntil("the job is completed") { caller.state(deployment.entries.first(), JOB) == "completed" }
            expectThat(deployment.history.violations()).isEmpty()
            expectThat(
                deployment.history
                    .runsOf(JOB)
                    .map { it.run }
                    .distinct(),
            ).containsExactly(1)
            submit(deployment, caller, LATER_JOB, StandInSettings.job(tasks = 2, millis = 300, cpu = WHOLE_HOST_CPU))
            awaitUntil("both hosts get work", seconds = 10) {
                deployment.history.runsOf(LATER_JOB).size == 2
            }
            expectThat(deployment.ownEnds()).isEmpty()
            expectThat(
                deployment.history
                    .runsOf(LATER_JOB)
                    .map { it.executor }
                    .distinct()
                    .size,
            ).isEqualTo(2)
        }

    private fun sendForeignHeartbeats(executor: ExecutorStandIn) {
        val later = JsonPrimitive(System.currentTimeMillis())
        val changes: List<Map<String, JsonElement?>> =
            listOf(
                emptyMap(),
                mapOf("born" to later),
                mapOf("born" to later, "service" to JsonPrimitive("unknown")),
                mapOf("born" to later, "sequence" to null),
                mapOf("capacity" to null),
                mapOf("capacity" to buildJsonObject { put("cpu", Long.MAX_VALUE) }, "born" to later),
                mapOf("labels" to null),
                mapOf("zone" to JsonPrimitive(1)),
                mapOf("address" to JsonPrimitive("127.0.0.1:70000"), "born" to later),
                mapOf("state" to JsonPrimitive("unknown")),
                mapOf("extra" to nested()),
            )
        changes.forEach { executor.sendForeignHeartbeat("stranger", it) }
        changes.drop(1).forEach { executor.sendForeignHeartbeat(changes = it) }
    }

    private fun nested(): JsonElement {
        var nested: JsonElement = JsonPrimitive(0)
        repeat(DEPTH) { nested = JsonArray(listOf(nested)) }
        return nested
    }

    private companion object {
        private const val JOB = "5c0e7a21d94b36f8"
        private const val LATER_JOB = "5c0e7a21d94b36f9"
        private const val TASKS = 6
        private const val WHOLE_HOST_CPU = 4_000L
        private const val DEPTH = 300
    }
}
