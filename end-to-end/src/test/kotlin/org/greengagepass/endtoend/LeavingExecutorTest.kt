/*
 * An executor drains, deregisters and leaves. Guards against tasks that are placed elsewhere while it still runs them.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty

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

    private companion object {
        private const val JOB = "5c0e7a21d94b36f9"
    }
}
