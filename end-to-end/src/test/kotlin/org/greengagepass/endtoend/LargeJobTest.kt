/*
 * A job of thousands of steps, whose definition is longer than a record of the store. Guards against leaders that are
 * replaced one after the other because the store does not take the job.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEmpty
import strikt.assertions.isNotNull

class LargeJobTest {
    @Test
    fun `a job of thousands of steps is stored and outlives its leader`() =
        withPlatform(hostCount = 1, entryCount = 2) { deployment, caller ->
            submit(deployment, caller, LARGE_JOB, steps())
            submit(deployment, caller, SMALL_JOB, StandInSettings.job(tasks = 1, millis = 100, cpu = 100))
            val leaders = deployment.entries.filter { deployment.logLines(it.name, LEADING).isNotEmpty() }
            expectThat(leaders).hasSize(1)
            deployment.kill(leaders.single().name)
            val other = deployment.entries.single { it != leaders.single() }
            awaitUntil("the next leader knows the job") { caller.state(other, LARGE_JOB) != null }
            awaitUntil("the next leader starts tasks") { caller.state(other, SMALL_JOB) == "completed" }
            expectThat(caller.state(other, LARGE_JOB)).isNotNull()
            expectThat(deployment.ownEnds()).isEmpty()
        }

    private fun steps(): String {
        val step = """{"count":1,"cpu":100,"mem-mb":64,"estimated-ms":1000,"image":"render"}"""
        return """{"spec":"100 100","phases":[${List(STEPS) { step }.joinToString(",")}]}"""
    }

    private companion object {
        private const val LARGE_JOB = "5c0e7a21d94b36f8"
        private const val SMALL_JOB = "5c0e7a21d94b36f9"
        private const val STEPS = 3_400
        private const val LEADING = "this entry is the leader"
    }
}
