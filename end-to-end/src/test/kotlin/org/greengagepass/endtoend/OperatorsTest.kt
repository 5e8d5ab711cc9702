/*
 * Operators take failure domains out and race each other. Guards against a start in a domain that is out, against
 * work that is lost or doubled when a domain leaves and returns, and against two operators who both think they won.
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
    fun `no task starts in a failure domain after it is out, and its tasks resume elsewhere once`() =
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
                    it.worker == "w1" && it.state == AttemptState.RUNNING && it.hostNanos - outAt > BOUND_NANOS
                }
            expectThat(lateStarts).isEmpty()
            expectThat(client.changeFailureDomain(deployment.entries.last(), "medina", "in").code).isEqualTo(0)
            awaitUntil("work returns to the domain", seconds = 60) {
                val number = System.nanoTime()
                client.submit(entry, "render-$number", runMillis = 200)
                awaitFinished(client, entry, "render-$number")
                client.history().any { it.worker == "w1" && it.taskId.value == "render-$number" }
            }
        }

    @Test
    fun `of two racing operators exactly one wins, and every entry agrees`() =
        withDeployment { deployment, client ->
            val operators = Executors.newFixedThreadPool(2)
            repeat(RACES) { race ->
                val name = "domain-$race"
                val calls =
                    deployment.entries.zip(listOf("out", "in")).map { (entry, change) ->
                        Callable { client.changeFailureDomain(entry, name, change, expectedVersion = -1) }
                    }
                val codes = operators.invokeAll(calls).map { it.get().code }
                expectThat(codes.filter { it == 0 }).describedAs("winners of race $race: $codes").hasSize(1)
                expectThat(codes.filter { it != 0 }).all { isEqualTo(VERSION_CONFLICT) }
            }
            operators.shutdown()
            val views = deployment.entries.map { client.failureDomains(it) }
            expectThat(views.distinct()).hasSize(1)
        }

    @Test
    fun `a change is in force at every entry within six seconds`() =
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
                expectThat(System.nanoTime() - changedAt).isLessThan(IN_FORCE_NANOS)
            }
        }

    private companion object {
        private const val TASKS = 6
        private const val RACES = 10
        private const val CHANGES = 6
        private const val VERSION_CONFLICT = 112

        /** The stated bound for starts after a failure domain was taken out: 4 s. */
        private const val BOUND_NANOS = 4_000_000_000L

        /** The stated bound for a configuration to be in force everywhere: 6 s. */
        private const val IN_FORCE_NANOS = 6_000_000_000L
    }
}
