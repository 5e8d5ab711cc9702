package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Simulates random histories with lost connections, commands that are executed late, restarted executors, replaced
 * leaders, and former leaders that grant leases until their leadership has expired. Guards against two concurrent runs
 * of a task, runs after an acknowledged end, overloaded hosts and lost jobs.
 */
class SchedulerHistoryTest {
    @Test
    fun `no task runs twice at a time and no host is overloaded under random faults`() {
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
