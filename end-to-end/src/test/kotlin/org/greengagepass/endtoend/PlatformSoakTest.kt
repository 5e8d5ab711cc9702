/*
 * Jobs run while executors, processes and the store fail in overlapping series. Guards against tasks that run twice or
 * after their job was cancelled, accepted jobs that are lost, rejected jobs that run, and processes that end by
 * themselves. More seeds and longer series are set by the properties `platform.soak.seeds` and `platform.soak.millis`.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.CompletableFuture

class PlatformSoakTest {
    @Test
    fun `no task runs twice and no job is lost while executors and processes fail`(): Unit =
        soakAll(defaultSeeds = "1", ExecutorFaults.ALL)

    @Test
    fun `no task runs twice while executors work on after a deregistration without an acknowledgement`(): Unit =
        soakAll(defaultSeeds = "2", ExecutorFaults.LOST_DEREGISTRATIONS)

    @Test
    fun `no task of a cancelled job starts late while commands to executors fail`(): Unit =
        soakAll(defaultSeeds = "3", ExecutorFaults.FAILED_COMMANDS)

    private fun soakAll(
        defaultSeeds: String,
        executorFaults: ExecutorFaults,
    ) {
        val seeds = System.getProperty("platform.soak.seeds", defaultSeeds).split(',').map { it.toLong() }
        expectThat(seeds.flatMap { seed -> soak(seed, executorFaults).map { "seed $seed: $it" } }).isEmpty()
    }

    private fun soak(
        seed: Long,
        executorFaults: ExecutorFaults,
    ): List<String> {
        var faults = emptyList<String>()
        withPlatform(hostCount = 4, entryCount = 3, logsName = "seed-$seed") { deployment, caller ->
            val submissions = Submissions(deployment, caller, seed)
            val faultSeries = PlatformFaults(deployment, seed, executorFaults)
            val series = CompletableFuture.runAsync { faultSeries.run(MILLIS) }
            submissions.submitUntil { series.isDone }
            series.get()
            faults = submissions.unfinished() + deployment.history.violations() + deployment.ownEnds()
            deployment.report(seed, submissions.summary(), faults)
        }
        return faults
    }

    private fun PlatformDeployment.report(
        seed: Long,
        summary: String,
        faults: List<String>,
    ) {
        println("soak of seed $seed: $summary, ${history.executors().size} incarnations, ${faults.size} faults")
        if (faults.isNotEmpty()) keepLogsIfRequested("seed-$seed")
    }

    private companion object {
        private val MILLIS = System.getProperty("platform.soak.millis", "30000").toLong()
    }
}
