/*
 * Jobs of a soak and what callers know of them. Callers cancel one in three accepted jobs soon after its acceptance.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import kotlin.random.Random
import kotlin.random.nextLong

/** Submits jobs to [deployment] and cancels some of them. */
internal class Submissions(
    private val deployment: PlatformDeployment,
    private val caller: JobCaller,
    seed: Long,
) {
    private val random = Random(seed)
    private val cancels = Random(seed.inv())
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
            val cancelMillis = cancels.nextLong(CANCEL_MILLIS).takeIf { cancels.nextInt(CANCELLED_ONE_IN) == 0 }
            answers[id] =
                CompletableFuture.supplyAsync({ submit(id, body).let { cancelAfter(id, it, cancelMillis) } }, threads)
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
        val unknown = answers.filterValues { it.get() == Submission.CANCELLED_AS_UNKNOWN }.keys
        return unknown.map { "the cancel of job $it, which was accepted, was answered 410" } +
            open.map { "job $it was accepted and is ${states[it]}\n${deployment.history.traceOf(it)}" } +
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

    /** Cancels job [id] after [delayMillis] if it was accepted. */
    private fun cancelAfter(
        id: String,
        submission: Submission,
        delayMillis: Long?,
    ): Submission {
        if (submission != Submission.ACCEPTED || delayMillis == null) return submission
        Thread.sleep(delayMillis)
        var attempt = 0
        var status: Int? = null
        while (status !in CANCEL_ANSWERS && attempt < ATTEMPTS_MAXIMUM) {
            if (attempt > 0) Thread.sleep(RETRY_MILLIS)
            status = caller.cancel(deployment.entries[attempt % deployment.entries.size], id)?.status
            attempt += 1
        }
        if (status == JobCaller.OK) deployment.history.cancelAcknowledged(id)
        return CANCEL_ANSWERS[status] ?: Submission.UNCERTAIN
    }

    private enum class Submission { ACCEPTED, REJECTED, UNCERTAIN, CANCELLED, CANCELLED_AS_UNKNOWN }

    private companion object {
        private const val ID_HIGH_BIT = 60
        private const val TASKS_BOUND = 4
        private const val LONG_ONE_IN = 5
        private val TASK_MILLIS = 100L..3_000L

        /** Longer than an executor drains. */
        private val LONG_TASK_MILLIS = 5_000L..9_000L
        private val TASK_CPU = 500L..2_000L
        private val CANCEL_MILLIS = 0L..1_500L
        private const val CANCELLED_ONE_IN = 3
        private val CANCEL_ANSWERS =
            mapOf(JobCaller.OK to Submission.CANCELLED, JobCaller.GONE to Submission.CANCELLED_AS_UNKNOWN)
        private const val SUBMIT_MILLIS = 500L
        private const val RETRY_MILLIS = 400L
        private const val POLL_MILLIS = 300L
        private const val ATTEMPTS_MAXIMUM = 6
        private const val FINISH_NANOS = 90_000_000_000L
    }
}
