/*
 * The executor beside an agent. Clock readings are of the executor's steady clock. Every call carries the fencing
 * token of the scheduler that asked for it.
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

/** What an executor holds. */
public data class ExecutorSnapshot(
    val clockMillis: Long,
    /** Begin of the executor's life, if it said so. */
    val startedAtEpochMillis: Long?,
    val running: List<RunStatus>,
    val ends: List<RunEnd>,
    val listsAllEnds: Boolean,
)

/** Which life of a host a call is for, on whose behalf, and until when the host may hold its tasks. */
public data class ExecutorCallContext(
    val incarnation: HostIncarnation,
    val epoch: Epoch,
    /** Reading of the host's clock; null leaves the lease as it is. */
    val leaseUntilHostClock: Long?,
)

/** Why a call to the executor did not succeed. */
public sealed class ExecutorFailure {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** Another life of the host answered; the one that was meant is over. */
    public data class IncarnationMismatch(
        override val detail: String,
    ) : ExecutorFailure()

    /** The executor refused and did nothing. */
    public data class Refused(
        override val detail: String,
    ) : ExecutorFailure()

    /** No answer, so that the call may have taken effect or may still do so. */
    public data class NoAnswer(
        override val detail: String,
    ) : ExecutorFailure()
}

/** Calls to the executor. */
public interface ExecutorClient {
    /** Extends the lease and lists what the executor holds, waiting up to [waitMillis] for an end. */
    public suspend fun poll(
        call: ExecutorCallContext,
        acknowledgedEnds: Long,
        waitMillis: Long,
    ): Either<ExecutorFailure, ExecutorSnapshot>

    /** Starts a run; starting it again has no further effect. */
    public suspend fun start(
        call: ExecutorCallContext,
        command: StartCommand,
    ): Either<ExecutorFailure, StartOutcome>

    /** Stops a run; one that is not there can't start any more. */
    public suspend fun stop(
        call: ExecutorCallContext,
        run: TaskRun,
    ): Either<ExecutorFailure, Unit>

    /** Lets a run work at [percent] of full speed. */
    public suspend fun throttle(
        call: ExecutorCallContext,
        run: TaskRun,
        percent: Int,
    ): Either<ExecutorFailure, Unit>
}
