/*
 * Frames of random or damaged bytes result in a typed error or a message, never in an exception.
 */
package org.greengagepass.protocol.connection

import arrow.core.Either
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.Checkpoint
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import kotlin.random.Random

class MessageCodecTest {
    private val codec = MessageCodec(EntryMessage.serializer())
    private val grant =
        EntryMessage.Grant(
            sequence = 4,
            epoch = Epoch(2),
            leaseDeadlineWorkerClock = Timestamp(10_000),
            startDeadlineWorkerClock = null,
            renewals = listOf(FencingToken(7)),
            starts =
                listOf(
                    TaskStart(
                        TaskId("task"),
                        FencingToken(8),
                        WorkKind("render"),
                        Resources(1, 2, 3),
                        Checkpoint.BEGINNING,
                        "input",
                    ),
                ),
            commands = listOf(TaskCommand.Evict(FencingToken(7))),
            recorded = listOf(FencingToken(6)),
        )

    @Test
    fun `a message is unchanged after encoding and decoding`() {
        expectThat(codec.decode(codec.encode(grant)).getOrNull()).isEqualTo(grant)
    }

    /** Guards against heartbeats that exceed the budget of 3 KB/s for a host with 32 attempts. */
    @Test
    fun `a task report is unchanged after encoding and decoding and takes at most 70 bytes`() {
        val report =
            TaskReport(
                taskId = TaskId("task-123456"),
                token = FencingToken(40_960_000),
                kind = WorkKind("render"),
                limit = Resources(1_000, 2_048, 1),
                usage = Resources(900, 1_900, 1),
                usageMeasuredAtWorkerClock = Timestamp(86_400_000),
                checkpoint = Checkpoint.BEGINNING,
            )
        val reports = MessageCodec(TaskReport.serializer())
        expectThat(reports.decode(reports.encode(report)).getOrNull()).isEqualTo(report)
        expectThat(reports.encode(report).size).isLessThanOrEqualTo(70)
    }

    /** Guards against a crash or an allocation of gigabytes on bytes that are not a message. */
    @Test
    fun `random bytes give a typed error or a message`() =
        runTest {
            checkAll(3_000, Arb.byteArray(Arb.int(0..300), Arb.byte())) { bytes ->
                expectThat(codec.decode(bytes)).isA<Either<CodecError, EntryMessage>>()
            }
        }

    /** Guards against a crash on a message that a faulty network has damaged. */
    @Test
    fun `damaged messages give a typed error or a message`() =
        runTest {
            checkAll(5_000, Arb.long()) { seed ->
                val random = Random(seed)
                val bytes = codec.encode(grant)
                repeat(random.nextInt(1, 6)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
                val cut = bytes.copyOf(random.nextInt(bytes.size + 1))
                expectThat(codec.decode(cut)).isA<Either<CodecError, EntryMessage>>()
            }
        }
}
