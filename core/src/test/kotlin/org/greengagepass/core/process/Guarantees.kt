/*
 * Checks of the guarantees against data that no process has: what each worker ran and when, and the complete log.
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

    /** Ends expired attempts on all workers before runs are compared. */
    var endAllExpired: () -> Unit = {}
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
     * G3: the next attempt resumes from the checkpoint of the evicted one. If the report of the eviction did not arrive
     * before the lease expired, it resumes from the last recorded checkpoint instead.
     */
    private fun released(record: TaskRecord.Released) {
        val saved = evictedAt[record.token].takeIf { record.reason != ReleaseReason.LEASE_ENDED } ?: return
        val recorded = reference.tasks[record.taskId]?.checkpoint
        check(saved == recorded) {
            "G3: ${record.taskId} was evicted at $saved, ended for ${record.reason} and resumes from $recorded"
        }
    }

    /** G2 and G3: the run is the only attempt of its task, started once, from the checkpoint in the log. */
    fun started(
        task: TaskId,
        run: Run,
        workerIncarnation: Long,
        resumeFrom: Checkpoint,
    ) {
        endAllExpired()
        val other = running.put(task, run)
        check(other == null) {
            "G2: $task runs on ${other?.host} under ${other?.token} and on ${run.host} under ${run.token}"
        }
        check(startedTokens.add(run.token to workerIncarnation)) { "G3: ${run.token} of $task was started twice" }
        val expected = resumePoints[run.token]
        check(expected != null && resumeFrom.number >= expected.number) {
            "G3: $task resumes from $resumeFrom, the log has $expected"
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

    fun cancelRequested(task: TaskId) {
        cancelled += task
    }

    /** G7: a request is dispatched again only after proof that no earlier dispatch ran. */
    fun dispatchPermitted(
        key: RequestKey,
        requestId: RequestId,
    ): Dispatch {
        val earlier = dispatches.getOrPut(key) { mutableListOf() }
        check(earlier.all { it.isProvenNotRun }) { "G7: $key was dispatched again" }
        count("dispatches")
        return Dispatch(requestId).also { earlier += it }
    }

    /**
     * G6: if a caller gets "not run", no request with the same key has run or may run, because the caller may have sent
     * the key before through an entry that died.
     */
    fun answered(
        requestId: RequestId,
        key: RequestKey,
        outcome: RequestOutcome,
    ) {
        val mayRun = dispatches[key].orEmpty().any { !it.isProvenNotRun }
        check(outcome !is RequestOutcome.NotRun || !mayRun) { "G6: $requestId got $outcome, but $key may run" }
        count("answers ${outcome::class.simpleName}")
    }

    /** Checks, after a long time without faults, that no task is lost and that each end of a task has a cause. */
    fun checkEnd(accepted: Set<TaskId>) {
        accepted.forEach { check(reference.tasks[it] != null) { "$it was accepted and is lost" } }
        reference.tasks.all.forEach { task ->
            check(task.hasEnded) { "${task.id} has not ended: ${task.state}" }
            when (task.state) {
                is TaskState.Finished -> check(task.id in finished) { "${task.id} is finished without a finished run" }
                is TaskState.Cancelled -> check(task.id in cancelled) { "${task.id} is cancelled without a request" }
                is TaskState.Failed -> check(task.cannotRun) { "${task.id} failed too early" }
                else -> Unit
            }
        }
        check(reference.keys.claimed.isEmpty()) { "keys without an outcome: ${reference.keys.claimed}" }
    }
}
