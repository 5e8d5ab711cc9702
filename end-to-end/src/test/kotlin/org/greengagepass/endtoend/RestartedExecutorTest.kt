/*
 * An executor crashes, and comes back under its identifier with another start time, a new clock and no memory. Guards
 * against a command for the earlier incarnation that takes effect in the later one.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.Disturbance
import org.greengagepass.platform.standin.ExecutorCall
import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.atomic.AtomicReference

class RestartedExecutorTest {
    @Test
    fun `a start for a silently crashed executor does not begin at its successor while the task runs elsewhere`() =
        withPlatform(hostCount = 3, entryCount = 2) { deployment, caller ->
            val crashed = AtomicReference<PlatformHost>()
            deployment.hosts.forEach { host ->
                host.executor.disturbance = { call ->
                    val isFirstStart = call == ExecutorCall.START && crashed.compareAndSet(null, host)
                    if (isFirstStart) Disturbance.SilentCrash else Disturbance.None
                }
            }
            submit(deployment, caller, JOB, StandInSettings.job(tasks = 1, millis = 4_000, cpu = 1_000))
            awaitUntil("the task runs on another host") { deployment.history.runsOf(JOB).isNotEmpty() }
            crashed.get().executor.restart(firstHeartbeatMillis = 600)
            awaitUntil("the job is completed") { caller.state(deployment.entries.first(), JOB) == "completed" }
            expectThat(deployment.history.violations()).isEmpty()
        }

    private companion object {
        private const val JOB = "5c0e7a21d94b36f8"
    }
}
