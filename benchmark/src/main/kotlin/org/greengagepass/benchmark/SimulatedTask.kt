/*
 * A task of the model: what the core sees of it, and its real progress.
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

/** A task between its arrival and its end. */
public class SimulatedTask(
    public val arrival: Arrival,
    submittedAt: Long,
) {
    private val submission = FencingToken(submittedAt)
    private var phaseSince = submission
    private var checkpointCoreMillis = 0.0
    private var checkpointAtMillis = 0L

    /** The attempt that holds capacity, if there is one. */
    public var attempt: Attempt? = null
        private set

    /** When the attempt begins to make progress; null before the worker has started it. */
    public var progressFromMillis: Long? = null

    /** Part of the processor limit that may be used, in thousandths. */
    public var permille: Int = FULL_PERMILLE
    public var isEvicting: Boolean = false
    public var doneCoreMillis: Double = 0.0
        private set
    private var exceeded: Resources? = null

    /** The task as the core sees it. */
    public var view: Task = buildView()
        private set

    /** Cores that the task uses while it makes progress. */
    public val usedMilliCores: Double
        get() {
            val limit = attempt?.limit?.milliCores ?: 0
            return minOf(arrival.kind.need.milliCores, limit) * permille.toDouble() / FULL_PERMILLE
        }

    public val isDone: Boolean
        get() = doneCoreMillis >= arrival.workCoreMillis

    /** True if the limit is too small for the memory that the task needs. */
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

    /** The attempt has ended. Without [keepsProgress] the task falls back to its last checkpoint. */
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

    /** Adds [coreMillis] of work and takes a checkpoint when one is due. */
    public fun progress(
        nowMillis: Long,
        coreMillis: Double,
    ) {
        doneCoreMillis = minOf(doneCoreMillis + coreMillis, arrival.workCoreMillis)
        if (nowMillis - checkpointAtMillis >= CHECKPOINT_MILLIS) {
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
        public const val CHECKPOINT_MILLIS: Long = 30_000
        private const val FULL_PERMILLE = 1_000
    }
}
