package org.greengagepass.agent.process.jobs

import org.greengagepass.core.HostId
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostIncarnation
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class ExecutorClockTest {
    private val first = HostIncarnation(HostId("host"), ExecutorName("executor"), startedAtEpochMillis = 1)
    private val second = first.copy(startedAtEpochMillis = 2)
    private var agentClock = 70_000L
    private val executorClock = ExecutorClock { agentClock }

    @Test
    fun `a lease of an executor that is silent expires even if its clock is slow`() {
        executorClock.update(first, clockMillis = 480_000)
        agentClock += 5_000
        expectThat(executorClock.hasPassed(first, 485_000)).isFalse()
        agentClock += 103
        expectThat(executorClock.hasPassed(first, 485_000)).isTrue()
    }

    @Test
    fun `the clock of a later incarnation, which starts anew, says nothing about a lease of an earlier one`() {
        executorClock.update(second, clockMillis = 900_000)
        expectThat(executorClock.hasPassed(first, 485_000)).isFalse()
    }
}
