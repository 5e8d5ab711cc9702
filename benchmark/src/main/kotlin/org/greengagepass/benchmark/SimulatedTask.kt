/*
 * A simulated task: the task as the core sees it, and its real progress.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.process.Attempt
import org.greengagepass.core.process.ColocatedTask
import org.greengagepass.core.process.FailureHistory
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.TaskState

/** A task from its arrival to its end. */
public class SimulatedTask(
    public val arrival: Arrival,
    submittedAt: Long,
) {
    private val submission = FencingToken(submittedAt)
    private var phaseSince = submission
    private var checkpointCoreMillis = 0.0
    private var checkpointAtMillis = 0L

    /** The current attempt, or null if the task waits. */
    public var attempt: Attempt? = null
        private set

    /** Time from which the attempt makes progress, or null before the worker has started it. */
    public var progressFromMillis: Long? = null

    /** Usable part of the processor limit, in permille. */
    public var permille: Int = FULL_PERMILLE
    public var isEvicting: Boolean = false
    public var doneCoreMillis: Double = 0.0
        private set
    private var exceeded: Resources? = null

    /** The task as the core sees it. */
    public var view: Task = buildView()
        private set

    /** Processor usage of the task while it makes progress. */
    public val usedMilliCores: Double
        get() {
            val limit = attempt?.limit?.milliCores ?: 0
            return minOf(arrival.kind.need.milliCores, limit) * permille.toDouble() / FULL_PERMILLE
        }

    public val isDone: Boolean
        get() = doneCoreMillis >= arrival.workCoreMillis

    /** True if the memory limit is smaller than the memory that the task needs. */
    public val exceedsLimit: Boolean
        get() = attempt?.let { arrival.kind.need.memoryMegabytes > it.limit.memoryMegabytes } == true

    public fun assign(
        host: HostId,
        token: Long,
        limit: Resources,
    ) {
        attempt = Attempt(FencingToken(token), host, limit)
        view = buildView()
    }

    /** Ends the attempt. Without [keepsProgress], the progress is reset to the last checkpoint. */
    public fun release(
        token: Long,
        keepsProgress: Boolean,
        exceededLimit: Resources? = null,
    ) {
        if (keepsProgress) checkpointCoreMillis = doneCoreMillis
        doneCoreMillis = checkpointCoreMillis
        exceeded = exceededLimit ?: exceeded
        attempt = null
        progressFromMillis = null
        permille = FULL_PERMILLE
        isEvicting = false
        phaseSince = FencingToken(token)
        view = buildView()
    }

    /** Adds [coreMillis] of work, and takes a checkpoint if one is due. */
    public fun addProgress(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        doneCoreMillis = minOf(doneCoreMillis + coreMillis, arrival.workCoreMillis)
        if (nowMillis - checkpointAtMillis >= CHECKPOINT_INTERVAL_MILLIS) {
            checkpointAtMillis = nowMillis
            checkpointCoreMillis = doneCoreMillis
        }
    }

    /** The task as the colocation control sees it. */
    public fun colocated(hostMilliCores: Long): ColocatedTask {
        val isBatch = arrival.kind.profile == BATCH_PROFILE
        return ColocatedTask(
            taskId = arrival.specification.taskId,
            kind = arrival.specification.kind,
            coreShare = usedMilliCores / hostMilliCores,
            evictable = isBatch && !isEvicting,
            throttleable = isBatch,
            lostWorkCoreMillis = (doneCoreMillis - checkpointCoreMillis).toLong(),
        )
    }

    private fun buildView(): Task =
        Task(
            specification = arrival.specification,
            submittedAt = submission,
            submittedAtEpochMillis = 0,
            state = attempt?.let { TaskState.Running(it) } ?: TaskState.Waiting,
            phaseSince = phaseSince,
            failures = FailureHistory(exceededLimit = exceeded),
        )

    public companion object {
        /** Profile of work that may be throttled and evicted. */
        public const val BATCH_PROFILE: String = "batch"

        /** Time between checkpoints of a running task. */
        public const val CHECKPOINT_INTERVAL_MILLIS: Long = 30_000
        private const val FULL_PERMILLE = 1_000
    }
}
