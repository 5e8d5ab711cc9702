/*
 * Guarantees of the request path over random histories with faults at every step: callers get their own complete
 * answer exactly once (G5), "not run" is true (G6), non-idempotent requests run at most once (G7), draining agents
 * accept no new requests (G8).
 */
package org.greengagepass.core.request

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

class RequestHistoryTest {
    /**
     * Guards against a second run, a false "not run", and an answer that is missing, repeated or for another request.
     */
    @Test
    fun `guarantees hold over random histories with faults at every step`() =
        runTest {
            val outcomes = HashMap<String, Int>()
            checkAll(PropTestConfig(seed = SEED, iterations = HISTORIES), Arb.long()) { seed ->
                RequestSimulation(seed).run(STEPS).forEach { outcomes.merge(it.javaClass.simpleName, 1, Int::plus) }
            }
            listOf("Ran", "NotRun", "Unknown").forEach { kind ->
                expectThat(outcomes[kind] ?: 0).describedAs("outcomes $kind in $outcomes").isGreaterThan(HISTORIES)
            }
        }

    private companion object {
        private const val SEED = 20_261_204L
        private const val HISTORIES = 2_000
        private const val STEPS = 400
    }
}
