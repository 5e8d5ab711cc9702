/*
 * Jobs are cancelled while their starts are under way at executors that leave calls without an answer. Guards against
 * tasks that start once the platform forbids it.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.Disturbance
import org.greengagepass.platform.standin.ExecutorCall
import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

class CancelledJobTest {
    @Test
    fun `a start that waits behind many stops does not begin after the cancel of its job`() =
        withPlatform(hostCount = 1, entryCount = 2) { deployment, caller ->
            submit(deployment, caller, LARGE_JOB, StandInSettings.job(LARGE_JOB_TASKS, millis = 60_000, cpu = 8))
            awaitUntil("all tasks run") { deployment.history.runsOf(LARGE_JOB).size == LARGE_JOB_TASKS }
            val executor =
                deployment.hosts
                    .single()
                    .executor
            executor.disturbance = { if (it in COMMANDS) Disturbance.NoAnswer else Disturbance.None }
            cancel(deployment, caller, LARGE_JOB)
            submit(deployment, caller, JOB, StandInSettings.job(tasks = 1, millis = 500, cpu = 100))
            Thread.sleep(COMMAND_ARRIVES_MILLIS)
            cancel(deployment, caller, JOB)
            Thread.sleep(SILENT_MILLIS)
            executor.disturbance = { Disturbance.None }
            Thread.sleep(SETTLED_MILLIS)
            expectThat(deployment.history.violations()).isEmpty()
        }

    @Test
    fun `a start does not begin after the cancel of its job when a suspended agent goes on`() =
        withPlatform(hostCount = 1, entryCount = 2) { deployment, caller ->
            val host = deployment.hosts.single()
            repeat(SUSPENSIONS) { number ->
                val job = "%016x".format(FIRST_JOB + number)
                host.executor.disturbance = { if (it in COMMANDS) Disturbance.NoAnswer else Disturbance.None }
                submit(deployment, caller, job, StandInSettings.job(tasks = 1, millis = 500, cpu = 100))
                Thread.sleep(COMMAND_ARRIVES_MILLIS)
                deployment.pause(host.name)
                cancel(deployment, caller, job)
                Thread.sleep(SILENT_MILLIS)
                host.executor.disturbance = { Disturbance.None }
                deployment.resume(host.name)
                Thread.sleep(SETTLED_MILLIS)
            }
            expectThat(deployment.history.violations()).isEmpty()
        }

    private fun cancel(
        deployment: PlatformDeployment,
        caller: JobCaller,
        job: String,
    ) {
        expectThat(caller.cancel(deployment.entries.first(), job)?.status).isEqualTo(JobCaller.OK)
        deployment.history.cancelAcknowledged(job)
    }

    private companion object {
        private const val LARGE_JOB = "5c0e7a21d94b36fa"
        private const val JOB = "5c0e7a21d94b36fb"
        private const val FIRST_JOB = 0x5c0e7a21d94b4000L
        private const val SUSPENSIONS = 4
        private const val LARGE_JOB_TASKS = 400
        private const val COMMAND_ARRIVES_MILLIS = 100L

        /** Longer than tasks of a cancelled job may start, and shorter than the lease of their start. */
        private const val SILENT_MILLIS = 3_200L
        private const val SETTLED_MILLIS = 2_000L
        private val COMMANDS = setOf(ExecutorCall.START, ExecutorCall.STOP)
    }
}
