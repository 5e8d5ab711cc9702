package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.StateRecord
import org.greengagepass.services.process.StoreFailure
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

/** What a leader may conclude from the answer to an append that it has repeated. */
class StateWriterTest {
    private val store = FakeStateStore()
    private val confirmation = Confirmation(VALID_MILLIS)
    private val records = listOf(StateRecord("key", byteArrayOf(1)))

    @Test
    fun `a repeated append confirms the leadership only as of its first try`() =
        runTest {
            // Guards against two leaders: the store may answer for the first try, before another leader began.
            val clock = { Moment(Timestamp(currentTime), currentTime) }
            repeat(TRIES) { store.failures += StoreFailure.NoAnswer("no response") }
            StateWriter(store, Epoch(1), 1, clock, confirmation).write(records)
            expectThat(currentTime >= VALID_MILLIS).isTrue()
            expectThat(confirmation.isValid(clock())).isFalse()
        }

    @Test
    fun `an append that the store has refused before confirms the leadership as of its last try`() =
        runTest {
            val clock = { Moment(Timestamp(currentTime), currentTime) }
            repeat(TRIES) { store.failures += StoreFailure.Refused("status 503") }
            StateWriter(store, Epoch(1), 1, clock, confirmation).write(records)
            expectThat(confirmation.isValid(clock())).isTrue()
        }

    @Test
    fun `records that the store rejects are not written again`() =
        runTest {
            val clock = { Moment(Timestamp(currentTime), currentTime) }
            store.failures += StoreFailure.Rejected("status 400")
            expectThat(StateWriter(store, Epoch(1), 1, clock, confirmation).write(records)).isFalse()
            expectThat(store.appended.size).isEqualTo(1)
        }

    @Test
    fun `an append is not repeated once the leadership has ended`() =
        runTest {
            // Guards against a replaced leader that sends the same records to the store without end.
            val clock = { Moment(Timestamp(currentTime), currentTime) }
            repeat(TRIES) { store.failures += StoreFailure.NoAnswer("no response") }
            val writer = StateWriter(store, Epoch(1), 1, clock, confirmation)
            expectThat(writer.write(records) { currentTime < VALID_MILLIS / 2 }).isFalse()
            expectThat(store.appended.size).isLessThan(TRIES)
        }

    private companion object {
        private const val VALID_MILLIS = 3_000L

        /** Tries are 50 ms apart. */
        private const val TRIES = 60
    }
}
