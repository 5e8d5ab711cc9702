/*
 * The platform's worker on one host. It runs tasks under leases. It refuses calls of an agent that has been replaced,
 * calls with a lower fencing token than one it has received, and calls after their deadline. Deadlines are readings of
 * the worker's own clock.
 */
package org.greengagepass.services.process

import arrow.core.Either
import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.Checkpoint

/** Access to the worker of one host. */
public interface WorkerService {
    /** Makes [incarnation] the only agent whose calls the worker accepts, and reports the attempts that it holds. */
    public suspend fun attach(incarnation: Incarnation): Either<PlatformError, WorkerReport>

    /** Reports the worker's clock and the attempts that it holds. */
    public suspend fun report(incarnation: Incarnation): Either<PlatformError, WorkerReport>

    /** Starts an attempt. */
    public suspend fun start(
        incarnation: Incarnation,
        start: WorkerStart,
    ): Either<PlatformError, Unit>

    /** Extends the lease of the attempts with [tokens] to [leaseDeadline]; a lease is never shortened. */
    public suspend fun renew(
        incarnation: Incarnation,
        tokens: List<FencingToken>,
        leaseDeadline: Timestamp,
    ): Either<PlatformError, Unit>

    /** Limits an attempt to [permille] of its processor limit. */
    public suspend fun throttle(
        incarnation: Incarnation,
        token: FencingToken,
        permille: Int,
    ): Either<PlatformError, Unit>

    /** Checkpoints an attempt, which continues to run. */
    public suspend fun checkpoint(
        incarnation: Incarnation,
        token: FencingToken,
    ): Either<PlatformError, Checkpoint>

    /** Stops an attempt; the worker keeps its last state until [forget] is called. */
    public suspend fun stop(
        incarnation: Incarnation,
        token: FencingToken,
    ): Either<PlatformError, Unit>

    /** Discards the state of ended attempts. */
    public suspend fun forget(
        incarnation: Incarnation,
        tokens: List<FencingToken>,
    ): Either<PlatformError, Unit>
}

/** An attempt to start. */
@Serializable
public data class WorkerStart(
    val taskId: TaskId,
    val token: FencingToken,
    val kind: WorkKind,
    val limit: Resources,
    val resumeFrom: Checkpoint,
    val input: String,
    val startDeadline: Timestamp,
    val leaseDeadline: Timestamp,
)

/** State of a worker at [clock], a reading of its own clock. */
@Serializable
public data class WorkerReport(
    val clock: Timestamp,
    val capacity: Resources,
    val attempts: List<AttemptReport>,
)

/** One attempt that the worker holds. */
@Serializable
public data class AttemptReport(
    val taskId: TaskId,
    val token: FencingToken,
    val kind: WorkKind,
    val limit: Resources,
    val state: AttemptState,
    val checkpoint: Checkpoint,
    val usage: Resources,
    val usageMeasuredAt: Timestamp,
    val leaseDeadline: Timestamp,
    val result: String,
)

/** State of an attempt. */
@Serializable
public enum class AttemptState {
    RUNNING,
    FINISHED,
    FAILED,
    LIMIT_EXCEEDED,
    STOPPED,
    LEASE_ENDED,
}
