/*
 * The simulation is reproducible, and all policies are compared on the same arrivals.
 */
package org.greengagepass.benchmark

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private const val DURATION_MILLIS = 60_000L
private const val SEED = 7L

class SimulationTest {
    private val deployment = KnownDeployment.SFAX.deployment

    @Test
    fun `two runs with the same seed give the same results`() {
        val results = List(size = 2) { run(Policy.GREENGAGEPASS) }
        expectThat(results.map { it.percentileMillis(percentile = 99.0) }.toSet().size).isEqualTo(1)
        expectThat(results.map { it.coreHours }.toSet().size).isEqualTo(1)
    }

    @Test
    fun `all policies get the same number of requests`() {
        val counts = Policy.entries.map { run(it).latencyMicros.totalCount }
        expectThat(counts.toSet().size).isEqualTo(1)
    }

    private fun run(policy: Policy) = Simulation(deployment, Scenario.NOISY_WAVES, policy, DURATION_MILLIS, SEED).run()
}
