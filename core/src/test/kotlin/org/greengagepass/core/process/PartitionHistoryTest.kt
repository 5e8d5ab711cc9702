/*
 * Random histories of a partition with faults. They guard against work that runs twice, is lost, or resumes from the
 * wrong checkpoint when processes die, pause, or act on stale state.
 */
package org.greengagepass.core.process

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.ShrinkingMode
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan

@OptIn(ExperimentalKotest::class)
class PartitionHistoryTest {
    /** Checks G2, G3, G4, G6 and G7, and that no task is lost; the failure message contains the seed of the history. */
    @Test
    fun `no history runs work twice or loses it`() {
        val totals = sortedMapOf<String, Int>()
        runBlocking {
            val configuration =
                PropTestConfig(seed = 20_261_204L, iterations = histories(), shrinkingMode = ShrinkingMode.Off)
            checkAll(configuration, Arb.long()) { seed ->
                val partition = PartitionSimulation(seed)
                try {
                    partition.run()
                } catch (failure: IllegalStateException) {
                    throw AssertionError("history $seed: ${failure.message}", failure)
                }
                partition.guarantees.statistics.forEach { (what, count) -> totals.merge(what, count, Int::plus) }
            }
        }
        println("histories reached: $totals")
        listOf("starts", "evictions", "dispatches", "PartitionReleased", "Failed", "Cancelled").forEach {
            expectThat(totals[it] ?: 0).describedAs(it).isGreaterThan(0)
        }
    }

    private fun histories(): Int = System.getProperty("histories")?.toInt() ?: 150
}
