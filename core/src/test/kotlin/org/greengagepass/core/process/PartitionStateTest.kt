/*
 * Conditions of single records, and the limits of retention.
 */
package org.greengagepass.core.process

import org.greengagepass.core.EntryId
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.TaskRecord.Assigned
import org.greengagepass.core.process.TaskRecord.CancelRequested
import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.PartitionClaimed
import org.greengagepass.core.process.TaskRecord.Released
import org.greengagepass.core.process.TaskRecord.Submitted
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNull
import strikt.assertions.isTrue

class PartitionStateTest {
    private val state = PartitionState()
    private val task = TaskId("task")
    private var offset = 0L
    private val limit = Resources(milliCores = 1)

    /** Guards against an append that arrives after later ones of its writer and undoes their effect. */
    @Test
    fun `a batch that was overtaken by a later one of its writer has no effect`() {
        state.fold(0, TaskBatch("writer", sequence = 2, listOf(submitted())))
        expectThat(state.fold(1, TaskBatch("writer", sequence = 1, listOf(CancelRequested(task))))).isEmpty()
        expectThat(state.fold(2, TaskBatch("writer", sequence = 2, listOf(CancelRequested(task))))).isEmpty()
        expectThat(state.tasks[task]?.state).isA<TaskState.Waiting>()
    }

    /** Guards against two owners at the same time: of two claims of the same epoch only the first is valid. */
    @Test
    fun `the second claim of an epoch has no effect`() {
        expectThat(fold(claim("a", Epoch.NONE))).isTrue()
        expectThat(fold(claim("b", Epoch.NONE))).isFalse()
        expectThat(state.ownership.owner).isEqualTo(EntryId("a"))
    }

    /** Guards against a late report that ends the attempt which replaced its own. */
    @Test
    fun `a record with the token of an earlier attempt has no effect`() {
        val first = assignedTask()
        fold(Released(Epoch(1), task, first, ReleaseReason.EVICTED))
        fold(assigned(previousToken = first))
        expectThat(fold(Finished(Epoch(1), task, first, "late"))).isFalse()
        expectThat(fold(Released(Epoch(1), task, first, ReleaseReason.FAILED))).isFalse()
        expectThat(state.tasks[task]?.state).isA<TaskState.Assigned>()
    }

    /** Guards against a start after a cancellation that precedes the assignment in the log. */
    @Test
    fun `a waiting task that is cancelled cannot be assigned`() {
        fold(claim("a", Epoch.NONE))
        fold(submitted())
        fold(CancelRequested(task))
        expectThat(fold(assigned(FencingToken.NONE))).isFalse()
        expectThat(state.tasks[task]?.state).isA<TaskState.Cancelled>()
    }

    /** Guards against a task that fails after its limit was raised, and against one that is tried again without end. */
    @Test
    fun `an exceeded limit counts as a failure only when it was not raised`() {
        var token = assignedTask()
        val counts =
            (0 until 3).map {
                fold(Released(Epoch(1), task, token, ReleaseReason.LIMIT_EXCEEDED))
                val count = state.tasks[task]?.failures?.count
                token = FencingToken.of(offset, index = 0)
                fold(assigned(previousToken = state.tasks[task]?.lastToken ?: FencingToken.NONE))
                count
            }
        expectThat(counts).isEqualTo(listOf(0, 1, 2))
    }

    /** Guards against memory use that grows with the number of all tasks that have run. */
    @Test
    fun `ended tasks beyond the maximum are dropped by a record`() {
        val settings = OwnerSettings(retention = RetentionSettings(endedTasksMaximum = 1))
        val configuration =
            object : OwnerConfiguration {
                override fun ageMillis(now: Timestamp): Long = 0

                override fun isOut(failureDomain: org.greengagepass.core.FailureDomainName): Boolean = false
            }
        val owner = PartitionOwner(OwnerIdentity(EntryId("a"), "address"), settings, FirstFit, configuration)
        val records = listOf(1, 2, 3).flatMap { listOf(submitted("task-$it"), CancelRequested(TaskId("task-$it"))) }
        val log = mutableListOf(TaskBatch("caller", sequence = 1, records))
        for (now in 0L..3_000L step 100L) {
            val clock = ClockReading(Timestamp(now), epochMillis = now)
            val from = owner.state.nextOffset
            val batches = log.drop(from.toInt()).mapIndexed { index, batch -> BatchAtOffset(from + index, batch) }
            val page = OwnerInput.PageRead(Timestamp(now), from, batches, nextOffset = log.size.toLong())
            val decisions = owner.handle(page, clock) + owner.handle(OwnerInput.Tick, clock)
            log += decisions.filterIsInstance<OwnerDecision.Append>().map { it.batch }
        }
        expectThat(
            owner.state.tasks.all
                .map { it.id },
        ).isEqualTo(listOf(TaskId("task-3")))
        expectThat(owner.state.tasks[TaskId("task-1")]).isNull()
    }

    private fun fold(record: TaskRecord): Boolean =
        state.fold(offset, TaskBatch("writer", ++offset, listOf(record))).single().isValid

    private fun assignedTask(): FencingToken {
        fold(claim("a", Epoch.NONE))
        fold(submitted())
        return FencingToken.of(offset, index = 0).also { fold(assigned(FencingToken.NONE)) }
    }

    private fun assigned(previousToken: FencingToken) =
        Assigned(Epoch(1), task, HostId("host"), previousToken, Checkpoint.BEGINNING, limit)

    private fun claim(
        owner: String,
        expectedEpoch: Epoch,
    ) = PartitionClaimed(EntryId(owner), "address", expectedEpoch)

    private fun submitted(id: String = task.value) =
        Submitted(
            TaskSpecification(TaskId(id), TeamName("team"), ProfileName("batch"), WorkKind("audit"), limit),
            recordedAtEpochMillis = 1,
        )
}
