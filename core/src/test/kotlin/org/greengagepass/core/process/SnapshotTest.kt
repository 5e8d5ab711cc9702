/*
 * Snapshots guard against the loss of state when records expire. The restored state must equal the original one,
 * including the order in which tasks wait.
 */
package org.greengagepass.core.process

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.ShrinkingMode
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

@OptIn(ExperimentalKotest::class, ExperimentalSerializationApi::class)
class SnapshotTest {
    private val serializer = ListSerializer(SnapshotChunk.serializer())

    /** Guards against state that a snapshot omits or that is restored in another order. */
    @Test
    fun `a restored state with the rest of the log equals the state of the whole log`() {
        runBlocking {
            val configuration =
                PropTestConfig(seed = 20_261_205L, iterations = 12, shrinkingMode = ShrinkingMode.Off)
            checkAll(configuration, Arb.long()) { seed ->
                val batches = PartitionSimulation(seed).also { it.run() }.log.batches
                val random = Random(seed)
                repeat(20) { compare(batches, split = random.nextInt(batches.size), random) }
            }
        }
    }

    /** Guards against restoring a snapshot whose writer died before it was complete. */
    @Test
    fun `the newest complete snapshot is restored, not a partial one`() {
        val batches = PartitionSimulation(seed = 7).also { it.run() }.log.batches
        val older = Snapshot.take(fold(batches.take(100)), writer = "a", recordsPerChunk = 5)
        val newer = Snapshot.take(fold(batches.take(200)), writer = "b", recordsPerChunk = 5)
        expectThat(newer.size).isGreaterThan(1)
        expectThat(Snapshot.newest(older + newer)?.nextOffset).isEqualTo(200)
        expectThat(Snapshot.newest(older + newer.dropLast(1))?.nextOffset).isEqualTo(100)
        expectThat(Snapshot.restore(newer.drop(1))).isNull()
    }

    /** Guards against chunks that exceed the frame limit of messages. */
    @Test
    fun `a chunk stays below the frame limit even with long inputs`() {
        val state = PartitionState()
        val records =
            (0 until 300).map { number ->
                val specification =
                    TaskSpecification(
                        taskId = TaskId("task-$number"),
                        team = TeamName("team"),
                        profile = ProfileName("batch"),
                        kind = WorkKind("render"),
                        declared = Resources(milliCores = 1),
                        input = "é".repeat(10_000),
                    )
                TaskRecord.Submitted(specification, recordedAtEpochMillis = 1)
            }
        state.fold(offset = 0, TaskBatch("writer", sequence = 1, records))
        val sizes = Snapshot.take(state, writer = "a").map { Cbor.encodeToByteArray(it).size }
        expectThat(sizes).all { isLessThan(1_048_576) }
    }

    private fun compare(
        batches: List<TaskBatch>,
        split: Int,
        random: Random,
    ) {
        val original = fold(batches.take(split))
        val bytes = Cbor.encodeToByteArray(serializer, Snapshot.take(original, writer = "a", recordsPerChunk = 7))
        val restored = Snapshot.newest(Cbor.decodeFromByteArray(serializer, bytes).shuffled(random))
        expectThat(restored).isNotNull()
        listOfNotNull(original, restored).forEach { state ->
            (split until batches.size).forEach { state.fold(it.toLong(), batches[it]) }
        }
        expectThat(restored?.let(::contentOf)).isEqualTo(contentOf(original))
    }

    private fun fold(batches: List<TaskBatch>): PartitionState =
        PartitionState().also { state ->
            batches.forEachIndexed { offset, batch -> state.fold(offset.toLong(), batch) }
        }

    private fun contentOf(state: PartitionState): List<Any?> =
        listOf(
            Snapshot.take(state, writer = "a"),
            state.tasks.waiting.toList(),
            state.tasks.ended.toList(),
            state.tasks.hosts.associateWith { state.tasks.on(it).toList() },
        )
}
