package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

/**
 * Simulates random histories with executors that fall silent, lose answers, carry out calls late, drain, crash and come
 * back under their old name, agents that are cut off, paused or restarted, and leaders that are paused, lose the store
 * or are replaced, with messages of closed connections still to be read. Guards against two concurrent runs of a task,
 * runs after an acknowledged end, hosts over their capacity, tasks kept on an executor that is gone, and lost jobs.
 */
class ConnectionHistoryTest {
    @Test
    fun `no task runs twice at a time when executors, agents and leaders fall silent and return`() {
        var done = 0
        for (history in 0 until HISTORIES) {
            val simulation = ConnectionSimulation(Random(SEED + history))
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
