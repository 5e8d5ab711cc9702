/*
 * The durable state of the job scheduler. The newest record of each key never expires. Only one scheduler can write at
 * a time, because a higher epoch fences a lower one. A repeated append has no further effect.
 */
package org.greengagepass.services.process

import arrow.core.Either
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.StateRecord

/** The leader and its epoch, as stored with the state. */
public data class Leadership(
    val epoch: Epoch,
    val entry: String,
    /** Address at which agents and entries reach the leader, as `host:port`. */
    val address: String,
)

/** The newest record of each key, complete at least up to [end]. */
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

    /** A scheduler with a higher epoch, or another append of this epoch, has written first. */
    public data class Fenced(
        override val detail: String,
    ) : StoreFailure()

    /** The state has grown since it was read; nothing was written. */
    public data class Conflict(
        override val detail: String,
    ) : StoreFailure()

    /** The store refused the call and did nothing. */
    public data class Refused(
        override val detail: String,
    ) : StoreFailure()

    /** The store can't take the records, however often they are sent; nothing was written. */
    public data class Rejected(
        override val detail: String,
    ) : StoreFailure()

    /** There was no answer; the call may have taken effect or may still do so. */
    public data class NoAnswer(
        override val detail: String,
    ) : StoreFailure()
}

/** Access to the stored state. */
public interface StateStore {
    /** Reads the whole state. */
    public suspend fun read(): Either<StoreFailure, StateSnapshot>

    /** Writes all of [records] or none. With [expectedEnd], only if nothing was written since that end was read. */
    public suspend fun append(
        identity: AppendIdentity,
        records: List<StateRecord>,
        expectedEnd: Long? = null,
    ): Either<StoreFailure, Unit>

    /** Creates the record that stores [leadership]. */
    public fun leadershipRecord(leadership: Leadership): StateRecord

    /** Returns the position at which the next record will be stored. */
    public suspend fun end(): Either<StoreFailure, Long>

    /** Returns true if something is written at or after [end] within [waitMillis]. */
    public suspend fun hasAppendsAfter(
        end: Long,
        waitMillis: Long,
    ): Either<StoreFailure, Boolean>

    /** Announces [leadership] to all entries and agents. It is a hint; only the record in the state decides. */
    public suspend fun announce(leadership: Leadership): Either<StoreFailure, Unit>

    /** Waits up to [waitMillis] for an announcement after [position]; the leadership is null if there was none. */
    public suspend fun nextAnnouncement(
        position: Long,
        waitMillis: Long,
    ): Either<StoreFailure, LeaderAnnouncement>
}

/** The newest announcement and the position from which to wait for the next. */
public data class LeaderAnnouncement(
    val leadership: Leadership?,
    val position: Long,
)
