/*
 * Jobs run while executors, processes and the store fail in overlapping series. Guards against tasks that run twice,
 * accepted jobs that are lost, rejected jobs that run, and processes that end by themselves. More seeds and longer
 * series are set by the properties `platform.soak.seeds` and `platform.soak.millis`.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.random.nextLong

class PlatformSoakTest {
    @Test
    fun `no task runs twice and no job is lost while executors and processes fail`(): Unit =
        soakAll(defaultSeeds = "1", losesDeregistrations = false)

    @Test
    fun `no task runs twice while executors work on after a deregistration without an acknowledgement`(): Unit =
        soakAll(defaultSeeds = "2", losesDeregistrations = true)

    private fun soakAll(
        defaultSeeds: String,
        losesDeregistrations: Boolean,
    ) {
        val seeds = System.getProperty("platform.soak.seeds", defaultSeeds).split(',').map { it.toLong() }
        expectThat(seeds.flatMap { seed -> soak(seed, losesDeregistrations).map { "seed $seed: $it" } }).isEmpty()
    }

    private fun soak(
        seed: Long,
        losesDeregistrations: Boolean,
    ): List<String> {
        var faults = emptyList<String>()
        withPlatform(hostCount = 4, entryCount = 3, logsName = "seed-$seed") { deployment, caller ->
            val submissions = Submissions(deployment, caller, seed)
            val faultSeries = PlatformFaults(deployment, seed, losesDeregistrations)
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

/** Jobs of a soak and what callers know of them. */
private class Submissions(
    private val deployment: PlatformDeployment,
    private val caller: JobCaller,
    seed: Long,
) {
    private val random = Random(seed)
    private val threads = Executors.newCachedThreadPool()
    private val answers = LinkedHashMap<String, CompletableFuture<Submission>>()

    fun submitUntil(isOver: () -> Boolean) {
        while (!isOver()) {
            val id = "%016x".format(random.nextLong() ushr 1 or (1L shl ID_HIGH_BIT))
            val body =
                StandInSettings.job(
                    tasks = random.nextInt(1, TASKS_BOUND),
                    millis = random.nextLong(if (random.nextInt(LONG_ONE_IN) == 0) LONG_TASK_MILLIS else TASK_MILLIS),
                    cpu = random.nextLong(TASK_CPU),
                )
            answers[id] = CompletableFuture.supplyAsync({ submit(id, body) }, threads)
            Thread.sleep(SUBMIT_MILLIS)
        }
    }

    /** Waits for accepted jobs, and returns those that are not completed and those that ran although rejected. */
    fun unfinished(): List<String> {
        val open = answers.filterValues { it.get() == Submission.ACCEPTED }.keys.toMutableSet()
        val states = HashMap<String, String?>()
        val deadline = System.nanoTime() + FINISH_NANOS
        while (open.isNotEmpty() && System.nanoTime() < deadline) {
            open.forEach { id -> states[id] = deployment.entries.firstNotNullOfOrNull { caller.state(it, id) } }
            open.removeIf { states[it] == "completed" }
            Thread.sleep(POLL_MILLIS)
        }
        threads.shutdown()
        val rejected = answers.filterValues { it.get() == Submission.REJECTED }.keys
        return open.map { "job $it was accepted and is ${states[it]}\n${deployment.history.traceOf(it)}" } +
            rejected.filter { deployment.history.runsOf(it).isNotEmpty() }.map { "job $it was rejected and ran" }
    }

    fun summary(): String =
        answers.values
            .groupingBy { it.get() }
            .eachCount()
            .toString()

    private fun submit(
        id: String,
        body: String,
    ): Submission {
        var isUncertain = false
        repeat(ATTEMPTS_MAXIMUM) { attempt ->
            val status = caller.submit(deployment.entries[attempt % deployment.entries.size], id, body)?.status
            if (status == JobCaller.OK) return Submission.ACCEPTED
            if (status !in JobCaller.REJECTIONS) isUncertain = true
            Thread.sleep(RETRY_MILLIS)
        }
        return if (isUncertain) Submission.UNCERTAIN else Submission.REJECTED
    }

    private enum class Submission { ACCEPTED, REJECTED, UNCERTAIN }

    private companion object {
        private const val ID_HIGH_BIT = 60
        private const val TASKS_BOUND = 4
        private const val LONG_ONE_IN = 5
        private val TASK_MILLIS = 100L..3_000L

        /** Longer than an executor drains. */
        private val LONG_TASK_MILLIS = 5_000L..9_000L
        private val TASK_CPU = 500L..2_000L
        private const val SUBMIT_MILLIS = 500L
        private const val RETRY_MILLIS = 400L
        private const val POLL_MILLIS = 300L
        private const val ATTEMPTS_MAXIMUM = 6
        private const val FINISH_NANOS = 90_000_000_000L
    }
}
