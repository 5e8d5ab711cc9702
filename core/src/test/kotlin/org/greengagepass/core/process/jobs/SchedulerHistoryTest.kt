package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Random histories with cut connections, orders that are carried out late, reborn hosts, lost leaders and leaders that
 * go on granting until their proof has expired. Guards against two runs of a task at a time, runs after an end that
 * was acknowledged, overfull hosts and lost jobs.
 */
class SchedulerHistoryTest {
    @Test
    fun `no task runs twice and no host is overfull whatever fails`() {
        var done = 0
        for (history in 0 until HISTORIES) {
            val simulation = SchedulerSimulation(Random(SEED + history))
            simulation.run()
            expectThat(simulation.violations.joinToString("\n")).describedAs("seed ${SEED + history}").isEqualTo("")
            done += simulation.completedJobs
        }
        expectThat(done).describedAs("completed jobs").isGreaterThan(HISTORIES)
    }

    private companion object {
        private const val SEED = 20_261_204L
        private const val HISTORIES = 150
    }
}
