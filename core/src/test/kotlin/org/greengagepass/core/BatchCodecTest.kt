/*
 * Decoding of log records that contain no batch or a corrupted one.
 */
package org.greengagepass.core

import arrow.core.Either
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.process.TaskBatch
import org.greengagepass.core.process.TaskRecord
import org.greengagepass.core.version.ConfigurationBatch
import org.greengagepass.core.version.ConfigurationRecord
import org.greengagepass.core.version.ConfigurationState
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.ServiceClass
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import kotlin.random.Random

class BatchCodecTest {
    /** Guards against a record that stops every process reading the stream. */
    @Test
    fun `random and corrupted bytes result in an error without an effect`() =
        runTest {
            var errors = 0
            checkAll(PropTestConfig(seed = 20_261_210L, iterations = 20_000), Arb.long()) { seed ->
                val bytes = corrupted(Random(seed))
                BatchCodec.TASKS.decode(bytes)
                val state = ConfigurationState()
                val before = state.view
                when (val batch = BatchCodec.CONFIGURATION.decode(bytes)) {
                    is Either.Right -> state.fold(0, batch.value)
                    is Either.Left -> {
                        errors++
                        state.skipUnreadable(0)
                        check(state.view == before) { "unreadable bytes changed the configuration" }
                    }
                }
                check(state.nextOffset == 1L) { "the record was not skipped" }
            }
            expectThat(errors).isGreaterThan(10_000)
        }

    /** Guards against deep nesting and oversized lengths that exhaust the stack or the memory. */
    @Test
    fun `deep nesting and oversized lengths result in an error`() {
        val nested = ByteArray(BatchCodec.PAYLOAD_BYTES_MAXIMUM) { NESTED_ARRAY }
        val unknownKey = byteArrayOf(0xa1.toByte(), 0x61, 0x78) + ByteArray(500_000) { NESTED_ARRAY }
        val huge = byteArrayOf(0xa1.toByte(), 0x7a, 0x7f, 0x7f, 0x7f, 0x7f)
        val hugeList =
            byteArrayOf(0xa1.toByte(), 0x67) + "records".toByteArray() +
                byteArrayOf(0x9a.toByte(), 0x7f, 0x7f, 0x7f, 0x7f)
        listOf(nested, unknownKey, huge, hugeList, nested + nested).forEach { bytes ->
            expectThat(BatchCodec.CONFIGURATION.decode(bytes).isLeft()).isEqualTo(true)
            expectThat(BatchCodec.TASKS.decode(bytes).isLeft()).isEqualTo(true)
        }
    }

    /** Guards against a batch that changes when it is encoded and decoded. */
    @Test
    fun `batches are unchanged after encoding and decoding`() {
        val tasks = TaskBatch("w", 7, listOf(TaskRecord.PartitionReleased(Epoch(3))))
        expectThat(BatchCodec.CONFIGURATION.decode(BatchCodec.CONFIGURATION.encode(BATCH)).getOrNull()).isEqualTo(BATCH)
        expectThat(BatchCodec.TASKS.decode(BatchCodec.TASKS.encode(tasks)).getOrNull()).isEqualTo(tasks)
    }

    private fun corrupted(random: Random): ByteArray {
        val valid = BatchCodec.CONFIGURATION.encode(BATCH)
        return when (random.nextInt(4)) {
            0 -> random.nextBytes(random.nextInt(200))
            1 -> valid.copyOf(random.nextInt(valid.size))
            2 -> valid + random.nextBytes(random.nextInt(1, 20))
            else ->
                valid.also { bytes ->
                    repeat(random.nextInt(1, 6)) {
                        bytes[random.nextInt(bytes.size)] =
                            random.nextInt().toByte()
                    }
                }
        }
    }

    private companion object {
        private const val NESTED_ARRAY = 0x81.toByte()
        private val BATCH =
            ConfigurationBatch(
                writer = "entry-1",
                sequence = 4,
                records =
                    listOf(
                        ConfigurationRecord.FailureDomainOut(FailureDomainName("port"), "works", null, "ana", "k1", 5),
                        ConfigurationRecord.ProfilePublished(
                            Profile(ProfileName("preview"), ServiceClass.QUICK),
                            FencingToken.NONE,
                            "ben",
                            "k2",
                        ),
                    ),
            )
    }
}
