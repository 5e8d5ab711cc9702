/*
 * An executor drains, deregisters and leaves. Guards against tasks that are placed elsewhere while it still runs them.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

class LeavingExecutorTest {
    @Test
    fun `a task does not start elsewhere while a deregistered executor that got no acknowledgement still runs it`() =
        withPlatform(hostCount = 3, entryCount = 2) { deployment, caller ->
            submit(deployment, caller, JOB, StandInSettings.job(tasks = 1, millis = 9_000, cpu = 1_000))
            awaitUntil("the task runs") { deployment.history.runsOf(JOB).isNotEmpty() }
            val executor =
                deployment.history
                    .runsOf(JOB)
                    .first()
                    .executor
            val host = deployment.hosts.first { executor.startsWith(it.executorName) }
            host.executor.drain(losesAcknowledgement = true)
            awaitUntil("the job is completed", seconds = 60) {
                caller.state(deployment.entries.first(), JOB) == "completed"
            }
            expectThat(deployment.history.violations()).isEmpty()
        }

    @Test
    fun `a host gets tasks again when another executor has replaced the one that left`() =
        withPlatform(hostCount = 2, entryCount = 2) { deployment, caller ->
            val host = deployment.hosts.first()
            host.executor.drain()
            host.executor.start()
            submit(deployment, caller, JOB, StandInSettings.job(tasks = 2, millis = 1_000, cpu = FULL_HOST_CPU))
            awaitUntil("the job is completed", seconds = 60) {
                caller.state(deployment.entries.first(), JOB) == "completed"
            }
            val executors = deployment.history.runsOf(JOB).map { it.executor }
            expectThat(executors.filter { it.startsWith(host.executorName) }).isNotEmpty()
            expectThat(deployment.history.violations()).isEmpty()
        }

    private companion object {
        private const val JOB = "5c0e7a21d94b36f9"
        private const val FULL_HOST_CPU = 3_000L
    }
}
