/*
 * The log becomes unavailable and available again. Guards against quick requests that fail without the log, tasks that
 * are lost in an outage, and an outcome "not run" for a record that was appended although the answer was lost.
 */
package org.greengagepass.endtoend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo

class OutageTest {
    @Test
    fun `previews and running tasks continue while the log is unavailable`() =
        withDeployment { deployment, client ->
            val entry = deployment.entries.first()
            client.submit(entry, "render-1", runMillis = 15_000)
            awaitHost(client, entry, "render-1")
            client.setLogFaults("""{"outage":true}""")
            // Longer than the lease, so that a task whose lease depends on the log would end.
            repeat(OUTAGE_SECONDS) {
                expectThat(client.request(entry, "counter", "fit-preview", "item-$it").outcome).isEqualTo("ran")
                Thread.sleep(1_000)
            }
            val refused = client.request(entry, "order", "belt-order", "order-in-outage", "order-1")
            expectThat(refused.outcome).isContainedIn(listOf("notRun", "unknown"))
            client.setLogFaults("""{"outage":false}""")
            awaitFinished(client, entry, "render-1")
            client.expectSafeHistory()
            expectThat(TaskHistory(client.history()).starts).isEqualTo(1)
            awaitUntil("an order is accepted again") {
                client.request(entry, "order", "belt-order", "order-after", "order-2").outcome == "ran"
            }
            expectThat(client.runsByBody()["order-in-outage"] ?: 0).isLessThanOrEqualTo(1)
        }

    @Test
    fun `the outcome of an order matches its runs although answers to appends are lost`() =
        withDeployment { deployment, client ->
            client.setLogFaults("""{"appendAnswersLost":10}""")
            val results =
                (1..5).map { client.request(deployment.entries[it % 2], "order", "belt-order", "lost-$it", "lost-$it") }
            results.forEachIndexed { index, result ->
                expectThat(client.runsByBody()["lost-${index + 1}"] ?: 0)
                    .describedAs("runs after $result")
                    .isEqualTo(if (result.outcome == "ran") 1 else 0)
            }
        }

    private companion object {
        private const val OUTAGE_SECONDS = 14
    }
}
