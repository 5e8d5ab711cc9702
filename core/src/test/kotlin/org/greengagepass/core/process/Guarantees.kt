/*
 * Checks of the guarantees against the truth, which no process sees: what each worker ran when, and the whole log.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.RequestId
import org.greengagepass.core.TaskId
import org.greengagepass.core.request.RequestOutcome

internal class Guarantees {
    val reference = PartitionState()
    private val running = HashMap<TaskId, Run>()
    private val startedTokens = HashSet<Pair<FencingToken, Long>>()
    private val resumePoints = HashMap<FencingToken, Checkpoint>()
    private val evictedAt = HashMap<FencingToken, Checkpoint>()
    private val finished = HashSet<TaskId>()
    private val cancelled = HashSet<TaskId>()
    private val dispatches = HashMap<RequestKey, MutableList<Dispatch>>()

    /** Ends attempts whose lease has passed on any worker, before runs are compared. */
    var settleAll: () -> Unit = {}
    val statistics = java.util.TreeMap<String, Int>()

    class Run(
        val host: HostId,
        val token: FencingToken,
    )

    class Dispatch(
        val requestId: RequestId,
    ) {
        var hasRun = false
        var isProvenNotRun = false
    }

    fun count(what: String) {
        statistics.merge(what, 1, Int::plus)
    }

    fun appended(
        offset: Long,
        batch: TaskBatch,
    ) {
        reference.fold(offset, batch).filter { it.isValid }.forEach { folded ->
            val record = folded.record
            count(record::class.simpleName.orEmpty())
            when (record) {
                is TaskRecord.Assigned -> resumePoints[folded.position] = record.resumeFrom
                is TaskRecord.Released -> released(record)
                else -> Unit
            }
        }
    }

    /**
     * G3: what an evicted attempt saved is what the next one resumes from. If the report of the eviction did not
     * come before the lease ended, the last recorded checkpoint counts instead.
     */
    private fun released(record: TaskRecord.Released) {
        val saved = evictedAt[record.token].takeIf { record.reason != ReleaseReason.LEASE_ENDED } ?: return
        val recorded = reference.tasks[record.taskId]?.checkpoint
        check(saved == recorded) {
            "G3: ${record.taskId} was evicted at $saved, ended for ${record.reason} and resumes from $recorded"
        }
    }

    /** G2 and G3: the only attempt of its task, started once, from the checkpoint that the log names. */
    fun started(
        task: TaskId,
        run: Run,
        workerIncarnation: Long,
        resumeFrom: Checkpoint,
    ) {
        settleAll()
        val other = running.put(task, run)
        check(other == null) {
            "G2: $task runs on ${other?.host} under ${other?.token} and on ${run.host} under ${run.token}"
        }
        check(startedTokens.add(run.token to workerIncarnation)) { "G3: ${run.token} of $task was started twice" }
        val expected = resumePoints[run.token]
        check(expected != null && resumeFrom.number >= expected.number) {
            "G3: $task resumes from $resumeFrom, the log says $expected"
        }
        check(task !in finished || reference.tasks[task]?.state !is TaskState.Finished) { "$task ran after its end" }
        count("starts")
    }

    fun ended(
        task: TaskId,
        token: FencingToken,
    ) {
        if (running[task]?.token == token) {
            running.remove(task)
        }
    }

    fun evicted(
        token: FencingToken,
        checkpoint: Checkpoint,
    ) {
        evictedAt[token] = checkpoint
        count("evictions")
    }

    fun finished(task: TaskId) {
        finished += task
    }

    fun cancelAsked(task: TaskId) {
        cancelled += task
    }

    /** G7: a further dispatch only after proof that every one before did not run. */
    fun dispatchPermitted(
        key: RequestKey,
        requestId: RequestId,
    ): Dispatch {
        val earlier = dispatches.getOrPut(key) { mutableListOf() }
        check(earlier.all { it.isProvenNotRun }) { "G7: $key was dispatched again" }
        count("dispatches")
        return Dispatch(requestId).also { earlier += it }
    }

    /** G6: whoever is told "not run" had no run. */
    fun answered(
        requestId: RequestId,
        key: RequestKey,
        outcome: RequestOutcome,
    ) {
        val hasRun = dispatches[key].orEmpty().any { it.requestId == requestId && it.hasRun }
        check(outcome !is RequestOutcome.NotRun || !hasRun) { "G6: $requestId was told $outcome and has run" }
        count("answers ${outcome::class.simpleName}")
    }

    /** After a long calm: no task is lost, and none has an end that nobody gave it. */
    fun checkEnd(accepted: Set<TaskId>) {
        accepted.forEach { check(reference.tasks[it] != null) { "$it was accepted and is lost" } }
        reference.tasks.all.forEach { task ->
            check(task.hasEnded) { "${task.id} has not ended: ${task.state}" }
            when (task.state) {
                is TaskState.Finished -> check(task.id in finished) { "${task.id} was finished by nobody" }
                is TaskState.Cancelled -> check(task.id in cancelled) { "${task.id} was cancelled by nobody" }
                is TaskState.Failed -> check(task.cannotRun) { "${task.id} failed too early" }
                else -> Unit
            }
        }
        check(reference.keys.claimed.isEmpty()) { "keys without an outcome: ${reference.keys.claimed}" }
    }
}
