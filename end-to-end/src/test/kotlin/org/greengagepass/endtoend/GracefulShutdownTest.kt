/*
 * Processes receive SIGTERM while requests are in progress. Guards against a graceful shutdown that interrupts
 * requests.
 */
package org.greengagepass.endtoend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isTrue
import java.util.concurrent.Callable
import java.util.concurrent.Executors
import java.util.concurrent.Future

class GracefulShutdownTest {
    @Test
    fun `an entry completes its requests before it exits`() =
        withDeployment(SLOW_OPERATIONS) { deployment, client ->
            val entry = deployment.entries.first()
            val calls = startCalls { client.request(entry, "counter", "fit-preview", "slow-$it") }
            deployment.terminate(entry.name)
            calls.forEach { expectThat(it.get().outcome).isEqualTo("ran") }
            expectThat(deployment.awaitExit(entry.name)).isTrue()
        }

    @Test
    fun `an agent completes its requests before it exits, and its tasks resume exactly once`() =
        withDeployment(SLOW_OPERATIONS) { deployment, client ->
            val entry = deployment.entries.first()
            client.submit(entry, "render-1", runMillis = 15_000)
            val host = awaitHost(client, entry, "render-1")
            val calls = startCalls { client.request(entry, "counter", "fit-preview", "slow-$it") }
            deployment.terminate("agent-$host")
            calls.forEach { expectThat(it.get().outcome).isEqualTo("ran") }
            expectThat(deployment.awaitExit("agent-$host")).isTrue()
            awaitFinished(client, entry, "render-1")
            client.expectSafeHistory()
        }

    @Test
    fun `a draining upstream receives no request after the stated bound`() =
        withDeployment { deployment, client ->
            deployment.terminate("executor-w1")
            Thread.sleep(DRAINING_BOUND_MILLIS)
            val before = client.refusedAfterLeaving("w1")
            repeat(REQUESTS) {
                val result = client.request(deployment.entries[it % 2], "counter", "fit-preview", "item-$it")
                expectThat(result.outcome).isEqualTo("ran")
            }
            expectThat(client.refusedAfterLeaving("w1")).isEqualTo(before)
        }

    private fun startCalls(call: (Int) -> CallResult): List<Future<CallResult>> {
        val callers = Executors.newFixedThreadPool(CALLS)
        val calls = (1..CALLS).map { number -> callers.submit(Callable { call(number) }) }
        callers.shutdown()
        Thread.sleep(DELIVERY_MILLIS)
        return calls
    }

    private companion object {
        private val SLOW_OPERATIONS = mapOf("fit-preview" to 2_000)
        private const val CALLS = 8

        /** Time in which the calls reach the upstreams, shorter than their service time. */
        private const val DELIVERY_MILLIS = 700L
        private const val REQUESTS = 40

        /** The stated bound after which a draining upstream gets no new requests: 4 s. */
        private const val DRAINING_BOUND_MILLIS = 4_000L
    }
}
