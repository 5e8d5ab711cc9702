package org.greengagepass.entry.process.jobs

import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.SchedulerSettings
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.Leadership
import org.greengagepass.services.process.StoreFailure
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

class LeadershipCandidateTest {
    private val store = FakeStateStore()
    private val other = Leadership(Epoch(3), "other", "other:1")
    private var now = 0L

    private fun leaderContext(scope: TestScope) =
        LeaderContext(
            scope = scope,
            store = store,
            clock = { Moment(Timestamp(now), now) },
            configuration = { null },
            decisions = DecisionLog(SimpleMeterRegistry()),
            newestEpoch = { Epoch.NONE },
        )

    /** A directory that has read the store once; the fake store's wait for a new announcement takes simulated time. */
    private suspend fun TestScope.readDirectory(): LeaderDirectory {
        val directory = LeaderDirectory(store)
        val following = launch { directory.follow() }
        delay(FIRST_READ_MILLIS)
        following.cancelAndJoin()
        return directory
    }

    private suspend fun TestScope.candidate(known: Leadership?): LeadershipCandidate {
        store.leadership = known
        val directory = readDirectory()
        return LeadershipCandidate(EntryIdentity("self", "self:1"), SETTINGS, directory, leaderContext(this))
    }

    @Test
    fun `without a leader the entry leads in the next epoch`() =
        runTest {
            expectThat(candidate(null).tryLead()).isNotNull().get { leadership.epoch }.isEqualTo(Epoch(1))
        }

    @Test
    fun `a leader that no longer listens is replaced at once`() =
        runTest {
            val candidate = candidate(other)
            expectThat(candidate.tryLead()).isNull()
            candidate.onNotLeading(other.address)
            expectThat(candidate.tryLead()).isNotNull().get { leadership.epoch }.isEqualTo(Epoch(4))
        }

    @Test
    fun `a report that an entry does not lead does not exclude its later leadership`() =
        runTest {
            // Guards against replacing a leader that reported a moment before its leadership that it does not lead.
            store.leadership = null
            val directory = readDirectory()
            val candidate =
                LeadershipCandidate(EntryIdentity("self", "self:1"), SETTINGS, directory, leaderContext(this))
            candidate.onNotLeading(other.address)
            directory.update(other)
            expectThat(candidate.tryLead()).isNull()
        }

    @Test
    fun `a silent leader that still writes is not replaced`() =
        runTest {
            val candidate = candidate(other)
            now = 5_000
            store.hasNewAppends = true
            expectThat(candidate.tryLead()).isNull()
            store.hasNewAppends = false
            expectThat(candidate.tryLead()).isNotNull()
        }

    @Test
    fun `a store that refuses this entry is read three times a second at most`() =
        runTest {
            // Guards against a read of all jobs every 40 ms by each entry that the store turns away.
            val candidate = candidate(null)
            store.isReadable = false
            repeat(READ_TRIES) {
                expectThat(candidate.tryLead()).isNull()
                now += 40
            }
            expectThat(store.reads).isLessThan(READ_TRIES * 40 / 300 + 2)
            store.isReadable = true
            now += 300
            expectThat(candidate.tryLead()).isNotNull()
        }

    @Test
    fun `a claim fails if another entry has claimed the leadership first`() =
        runTest {
            val candidate = candidate(null)
            store.failures += StoreFailure.Conflict("conflict")
            expectThat(candidate.tryLead()).isNull()
        }

    @Test
    fun `two claims of one epoch have different sequence numbers`() =
        runTest {
            // Guards against two leaders: a second claim with the same number would be taken for a retry of the first.
            candidate(null).tryLead()
            val first = store.appended.last()
            store.records.clear()
            candidate(null).tryLead()
            expectThat(store.appended.last().sequence == first.sequence).isFalse()
        }

    @Test
    fun `a confirmation expires by either clock`() {
        // Guards against a process that leads on after a suspension, in which its monotonic clock stood still.
        val confirmation = Confirmation(validMillis = 3_000)
        confirmation.confirm(Moment(Timestamp(0), 0))
        expectThat(confirmation.isValid(Moment(Timestamp(100), 100))).isTrue()
        expectThat(confirmation.isValid(Moment(Timestamp(100), 5_000))).isFalse()
        expectThat(confirmation.isValid(Moment(Timestamp(5_000), 100))).isFalse()
    }

    private companion object {
        private const val FIRST_READ_MILLIS = 10L
        private const val READ_TRIES = 50
        private val SETTINGS = SchedulerSettings(leaseMillis = 5_000, leadershipMillis = 3_000, retentionMillis = 1_000)
    }
}
