/*
 * A state store in memory whose failures a test sets.
 */
package org.greengagepass.entry.process.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.StateRecord
import org.greengagepass.services.process.AppendIdentity
import org.greengagepass.services.process.LeaderAnnouncement
import org.greengagepass.services.process.Leadership
import org.greengagepass.services.process.StateSnapshot
import org.greengagepass.services.process.StateStore
import org.greengagepass.services.process.StoreFailure

internal class FakeStateStore : StateStore {
    val records = ArrayList<StateRecord>()
    val appended = ArrayList<AppendIdentity>()
    var leadership: Leadership? = null
    var failures = ArrayDeque<StoreFailure>()
    var hasNewAppends = false
    var isReadable = true
    var reads = 0
    private var highestEpoch = Epoch.NONE

    override suspend fun read(): Either<StoreFailure, StateSnapshot> {
        reads += 1
        if (!isReadable) return StoreFailure.Refused("status 429").left()
        return StateSnapshot(records.filter { it.key != KEY }, leadership, records.size.toLong()).right()
    }

    override suspend fun append(
        identity: AppendIdentity,
        records: List<StateRecord>,
        expectedEnd: Long?,
    ): Either<StoreFailure, Unit> {
        appended += identity
        val failure = failures.removeFirstOrNull() ?: refusalOf(identity, expectedEnd)
        if (failure == null) {
            highestEpoch = identity.epoch
            this.records += records
        }
        return failure?.left() ?: Unit.right()
    }

    private fun refusalOf(
        identity: AppendIdentity,
        expectedEnd: Long?,
    ): StoreFailure? =
        when {
            identity.epoch < highestEpoch -> StoreFailure.Fenced("fenced")
            expectedEnd != null && expectedEnd != records.size.toLong() -> StoreFailure.Conflict("conflict")
            else -> null
        }

    override fun leadershipRecord(leadership: Leadership): StateRecord {
        this.leadership = leadership
        return StateRecord(KEY, byteArrayOf(1))
    }

    override suspend fun end(): Either<StoreFailure, Long> = records.size.toLong().right()

    override suspend fun hasAppendsAfter(
        end: Long,
        waitMillis: Long,
    ): Either<StoreFailure, Boolean> = hasNewAppends.right()

    override suspend fun announce(leadership: Leadership): Either<StoreFailure, Unit> = Unit.right()

    override suspend fun nextAnnouncement(
        position: Long,
        waitMillis: Long,
    ): Either<StoreFailure, LeaderAnnouncement> {
        if (position >= 0) delay(waitMillis)
        return LeaderAnnouncement(leadership, 0).right()
    }

    private companion object {
        private const val KEY = "leadership"
    }
}
