/*
 * The durable state of the job scheduler. The newest record of each key is kept for ever; one scheduler writes at a
 * time, fenced by its epoch, and a repeated append has no further effect.
 */
package org.greengagepass.services.process

import arrow.core.Either
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.StateRecord

/** Who leads, as stored beside the state. */
public data class Leadership(
    val epoch: Epoch,
    val entry: String,
    /** Address at which agents and entries reach the leader, as `host:port`. */
    val address: String,
)

/** The newest record of each key, complete up to [end] at least. */
public data class StateSnapshot(
    val records: List<StateRecord>,
    val leadership: Leadership?,
    val end: Long,
)

/** Identifies an append, so that a repeat of it is recognised. */
public data class AppendIdentity(
    val epoch: Epoch,
    val sequence: Long,
)

/** Why a call to the store did not succeed. */
public sealed class StoreFailure {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** A scheduler with a higher epoch, or another append of this epoch, was there first. */
    public data class Fenced(
        override val detail: String,
    ) : StoreFailure()

    /** The state has grown since it was read; nothing was written. */
    public data class Conflict(
        override val detail: String,
    ) : StoreFailure()

    /** The store did nothing. */
    public data class Refused(
        override val detail: String,
    ) : StoreFailure()

    /** No answer, so that the call may have taken effect or may still do so. */
    public data class NoAnswer(
        override val detail: String,
    ) : StoreFailure()
}

/** Access to the stored state. */
public interface StateStore {
    /** Everything that is stored. */
    public suspend fun read(): Either<StoreFailure, StateSnapshot>

    /** Writes [records]; all or none. With [expectedEnd], only if nothing was written since that end was read. */
    public suspend fun append(
        identity: AppendIdentity,
        records: List<StateRecord>,
        expectedEnd: Long? = null,
    ): Either<StoreFailure, Unit>

    /** The record that says who leads. */
    public fun leadershipRecord(leadership: Leadership): StateRecord

    /** Position at which the next record will be stored. */
    public suspend fun end(): Either<StoreFailure, Long>

    /** True if something is written at or after [end] within [waitMillis]. */
    public suspend fun hasAppendsAfter(
        end: Long,
        waitMillis: Long,
    ): Either<StoreFailure, Boolean>

    /** Tells everybody that [leadership] has begun. It is a hint; only the state's own record decides. */
    public suspend fun announce(leadership: Leadership): Either<StoreFailure, Unit>

    /** Waits up to [waitMillis] for an announcement after [position]; null as a leadership if there was none. */
    public suspend fun nextAnnouncement(
        position: Long,
        waitMillis: Long,
    ): Either<StoreFailure, LeaderAnnouncement>
}

/** The newest announcement, and the position to wait from next. */
public data class LeaderAnnouncement(
    val leadership: Leadership?,
    val position: Long,
)
