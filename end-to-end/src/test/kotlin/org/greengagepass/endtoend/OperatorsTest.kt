/*
 * Operators take failure domains out of service, and change them concurrently. Guards against a start in a domain that
 * is out of service, against tasks that are lost or run twice when a domain is taken out and put back, and against two
 * conflicting changes that both succeed.
 */
package org.greengagepass.endtoend

import org.greengagepass.services.process.AttemptState
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import java.util.concurrent.Callable
import java.util.concurrent.Executors

class OperatorsTest {
    @Test
    fun `no task starts in a failure domain that is out of service, and its tasks resume elsewhere exactly once`() =
        withDeployment { deployment, client ->
            val entry = deployment.entries.first()
            (1..TASKS).forEach { client.submit(entry, "render-$it", runMillis = 12_000) }
            (1..TASKS).forEach { awaitHost(client, entry, "render-$it") }
            expectThat(client.changeFailureDomain(entry, "medina", "out").code).isEqualTo(0)
            val outAt = System.nanoTime()
            (TASKS + 1..2 * TASKS).forEach { client.submit(entry, "render-$it", runMillis = 3_000) }
            (1..2 * TASKS).forEach { awaitFinished(client, entry, "render-$it") }
            client.expectSafeHistory()
            val lateStarts =
                client.history().filter {
                    it.worker == "w1" && it.state == AttemptState.RUNNING && it.hostNanos - outAt > START_BOUND_NANOS
                }
            expectThat(lateStarts).isEmpty()
            expectThat(client.changeFailureDomain(deployment.entries.last(), "medina", "in").code).isEqualTo(0)
            awaitUntil("a task runs in the domain again", seconds = 60) {
                val number = System.nanoTime()
                client.submit(entry, "render-$number", runMillis = 200)
                awaitFinished(client, entry, "render-$number")
                client.history().any { it.worker == "w1" && it.taskId.value == "render-$number" }
            }
        }

    @Test
    fun `exactly one of two concurrent changes succeeds, and all entries show the same result`() =
        withDeployment { deployment, client ->
            val operators = Executors.newFixedThreadPool(2)
            repeat(RACES) { race ->
                val name = "domain-$race"
                val calls =
                    deployment.entries.zip(listOf("out", "in")).map { (entry, change) ->
                        Callable { client.changeFailureDomain(entry, name, change, expectedVersion = -1) }
                    }
                val codes = operators.invokeAll(calls).map { it.get().code }
                expectThat(codes.filter { it == 0 }).describedAs("result codes of race $race: $codes").hasSize(1)
                expectThat(codes.filter { it != 0 }).all { isEqualTo(VERSION_CONFLICT) }
            }
            operators.shutdown()
            val views = deployment.entries.map { client.failureDomains(it) }
            expectThat(views.distinct()).hasSize(1)
        }

    @Test
    fun `a change takes effect at every entry within six seconds`() =
        withDeployment { deployment, client ->
            repeat(CHANGES) { number ->
                val changedAt = System.nanoTime()
                client.changeFailureDomain(
                    deployment.entries[number % 2],
                    "sakiet",
                    if (number % 2 ==
                        0
                    ) {
                        "out"
                    } else {
                        "in"
                    },
                )
                awaitUntil("both entries show change $number") {
                    deployment.entries
                        .map { client.failureDomains(it) }
                        .distinct()
                        .size == 1
                }
                expectThat(System.nanoTime() - changedAt).isLessThan(CONFIGURATION_BOUND_NANOS)
            }
        }

    private companion object {
        private const val TASKS = 6
        private const val RACES = 10
        private const val CHANGES = 6
        private const val VERSION_CONFLICT = 112

        /** The stated bound for starts in a failure domain after it was taken out of service: 4 s. */
        private const val START_BOUND_NANOS = 4_000_000_000L

        /** The stated bound within which a configuration takes effect at all entries: 6 s. */
        private const val CONFIGURATION_BOUND_NANOS = 6_000_000_000L
    }
}
