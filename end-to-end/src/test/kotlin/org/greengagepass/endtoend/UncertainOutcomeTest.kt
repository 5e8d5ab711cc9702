/*
 * Processes are killed while requests are in progress. Guards against an order that runs twice, an outcome "not run"
 * for a request that ran, and a caller that receives the answer to another request.
 */
package org.greengagepass.endtoend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThanOrEqualTo
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

class UncertainOutcomeTest {
    @Test
    fun `the outcome of each request matches its runs while an agent and an entry are killed`() {
        TestDeployment(operationMillis = mapOf("belt-order" to 150, "fit-preview" to 20)).use { deployment ->
            deployment.start()
            val client = TestClient(deployment)
            client.publishProfiles()
            awaitUntil("each entry answers a preview") {
                deployment.entries.all { client.request(it, "counter", "fit-preview", "warm-up").code == 0 }
            }
            val outcomes = ConcurrentHashMap<String, CallResult>()
            val callers = Executors.newFixedThreadPool(CALLERS)
            repeat(REQUESTS) { number ->
                callers.submit { outcomes["item-$number"] = sendUntilAnswered(deployment, client, number) }
            }
            Thread.sleep(1_000)
            deployment.kill("agent-w1")
            Thread.sleep(2_000)
            deployment.kill("e1")
            callers.shutdown()
            check(callers.awaitTermination(2, TimeUnit.MINUTES)) { "requests still run\n${deployment.logTails()}" }
            expectMatchingOutcomes(outcomes, client.runsByBody())
        }
    }

    private fun sendUntilAnswered(
        deployment: TestDeployment,
        client: TestClient,
        number: Int,
    ): CallResult {
        val isOrder = number % 2 == 0
        val first = send(client, deployment.entries[number % 2], number, isOrder)
        val isRepeated = first.code == CallResult.CONNECTION_LOST
        return if (isRepeated) send(client, deployment.entries.last(), number, isOrder) else first
    }

    private fun send(
        client: TestClient,
        entry: TestEntry,
        number: Int,
        isOrder: Boolean,
    ): CallResult =
        if (isOrder) {
            client.request(entry, "order", "belt-order", "item-$number", idempotencyKey = "order-$number")
        } else {
            client.request(entry, "counter", "fit-preview", "item-$number")
        }

    private fun expectMatchingOutcomes(
        outcomes: Map<String, CallResult>,
        runs: Map<String, Int>,
    ) {
        expectThat(outcomes.size).isEqualTo(REQUESTS)
        outcomes.forEach { (body, result) ->
            val count = runs[body] ?: 0
            val isOrder = body.substringAfter('-').toInt() % 2 == 0
            if (isOrder) expectThat(count).describedAs("runs of order $body: $result").isLessThanOrEqualTo(1)
            when (result.outcome) {
                "ran" -> {
                    expectThat(count).describedAs("runs of $body").isGreaterThan(0)
                    expectThat(result.answer).contains("\"$body\"")
                }

                "notRun" -> if (isOrder) expectThat(count).describedAs("runs of $body: $result").isEqualTo(0)
                "unknown" -> Unit
                else -> error("no outcome for $body: $result")
            }
        }
        expectThat(outcomes.values.count { it.outcome == "ran" }).isGreaterThan(REQUESTS / 2)
    }

    private companion object {
        private const val CALLERS = 6
        private const val REQUESTS = 120
    }
}
