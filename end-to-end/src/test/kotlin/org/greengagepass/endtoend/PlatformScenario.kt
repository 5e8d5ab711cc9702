/*
 * Steps shared by the scenarios with stand-ins of the platform.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import java.nio.file.Path

/** Property with a directory for the log files of failed scenarios. */
private const val LOGS_PROPERTY = "platform.logs"
private const val WARM_UP_MILLIS = 300L
private const val WARM_UP_CPU = 3_000L

/** Runs [scenario] on a started deployment in which each host has run a task. */
fun withPlatform(
    hostCount: Int,
    entryCount: Int,
    logsName: String = "",
    scenario: (PlatformDeployment, JobCaller) -> Unit,
) {
    PlatformDeployment(hostCount, entryCount).use { deployment ->
        deployment.start()
        val caller = JobCaller()
        try {
            warmUp(deployment, caller, hostCount)
            scenario(deployment, caller)
        } catch (
            @Suppress("TooGenericExceptionCaught") failure: Throwable,
        ) {
            deployment.keepLogsIfRequested(logsName)
            val traces = deployment.history.violations().joinToString("\n")
            throw AssertionError("${failure.message}\n$traces\n${deployment.ownEnds()}", failure)
        }
    }
}

/** Keeps the log files as [name] in the directory of the property, if it is set. */
fun PlatformDeployment.keepLogsIfRequested(name: String) {
    System.getProperty(LOGS_PROPERTY)?.let { keepLogs(Path.of(it, name)) }
}

/** Submits jobs that occupy all connected hosts until each host has run a task. */
private fun warmUp(
    deployment: PlatformDeployment,
    caller: JobCaller,
    hostCount: Int,
) {
    var jobs = 0
    awaitUntil("a task has run on each host", seconds = 60) {
        jobs += 1
        val body = StandInSettings.job(tasks = hostCount, millis = WARM_UP_MILLIS, cpu = WARM_UP_CPU)
        submit(deployment, caller, "%016x".format(jobs), body)
        Thread.sleep(2 * WARM_UP_MILLIS)
        deployment.history.executors().size == hostCount
    }
}

/** Submits job [id] to each entry in turn until one accepts it. */
fun submit(
    deployment: PlatformDeployment,
    caller: JobCaller,
    id: String,
    body: String,
) {
    awaitUntil("job $id is accepted", seconds = 60) {
        deployment.entries.any { caller.submit(it, id, body)?.status == JobCaller.OK }
    }
}
