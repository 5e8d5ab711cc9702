/*
 * Client of the executor on the agent's host. Clock readings are of the executor's monotonic clock. Every call carries
 * the fencing token of the scheduler that requested it.
 */
package org.greengagepass.services.process

import arrow.core.Either
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.RunEnd
import org.greengagepass.core.process.jobs.RunStatus
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskRun

/** The runs and unacknowledged ends of runs that an executor holds. */
public data class ExecutorSnapshot(
    val clockMillis: Long,
    /** Start of the executor's incarnation, or null if the executor did not report it. */
    val startedAtEpochMillis: Long?,
    val running: List<RunStatus>,
    val ends: List<RunEnd>,
    val listsAllEnds: Boolean,
) {
    /** False if a later incarnation than [incarnation] under the same name has answered. */
    public fun mayBeOf(incarnation: HostIncarnation): Boolean =
        (startedAtEpochMillis ?: 0) <= incarnation.startedAtEpochMillis
}

/** The incarnation of the host that a call is for, the leader's epoch, and the end of the host's lease. */
public data class ExecutorCallContext(
    val incarnation: HostIncarnation,
    val epoch: Epoch,
    /** Reading of the host's clock; null leaves the lease unchanged. */
    val leaseUntilHostClock: Long?,
    /** False once the call must not be sent any more; checked when the call has a connection. */
    val isDue: () -> Boolean = { true },
)

/** Why a call to the executor did not succeed. */
public sealed class ExecutorFailure {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** Another incarnation of the host answered; the intended one has ended. */
    public data class IncarnationMismatch(
        override val detail: String,
    ) : ExecutorFailure()

    /** No process listens at the executor's address, so the call was not sent. */
    public data class NotListening(
        override val detail: String,
    ) : ExecutorFailure()

    /** The executor refused and did nothing, or the call was not sent. */
    public data class Refused(
        override val detail: String,
    ) : ExecutorFailure()

    /** There was no answer; the call may have taken effect or may still do so. */
    public data class NoAnswer(
        override val detail: String,
    ) : ExecutorFailure()
}

/** Calls to the executor. */
public interface ExecutorClient {
    /** Extends the lease and lists the runs at the executor, waiting up to [waitMillis] for the end of a run. */
    public suspend fun poll(
        context: ExecutorCallContext,
        acknowledgedEnds: Long,
        waitMillis: Long,
    ): Either<ExecutorFailure, ExecutorSnapshot>

    /** Starts a run. A repeated call has no further effect. */
    public suspend fun start(
        context: ExecutorCallContext,
        command: StartCommand,
    ): Either<ExecutorFailure, StartOutcome>

    /** Stops a run. If the executor does not hold it, it can't start any more. */
    public suspend fun stop(
        context: ExecutorCallContext,
        run: TaskRun,
    ): Either<ExecutorFailure, Unit>

    /** Throttles a run to [percent] of full speed. */
    public suspend fun throttle(
        context: ExecutorCallContext,
        run: TaskRun,
        percent: Int,
    ): Either<ExecutorFailure, Unit>
}
