/*
 * Measures the cost of a partition at several numbers of tasks: processor time per folded record and per handled
 * heartbeat, and memory and snapshot size per task. The number of tasks per host is constant, so that a cost that grows
 * with the partition is visible.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.BatchCodec
import org.greengagepass.core.EntryId
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.ProfileName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.BatchAtOffset
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.core.process.ClockReading
import org.greengagepass.core.process.HeldAttempt
import org.greengagepass.core.process.OwnerConfiguration
import org.greengagepass.core.process.OwnerDecision
import org.greengagepass.core.process.OwnerIdentity
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.core.process.OwnerSettings
import org.greengagepass.core.process.PartitionOwner
import org.greengagepass.core.process.PartitionState
import org.greengagepass.core.process.PlacementPolicy
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.process.Snapshot
import org.greengagepass.core.process.TaskBatch
import org.greengagepass.core.process.TaskRecord
import org.greengagepass.core.process.TaskSpecification
import java.lang.management.ManagementFactory

private const val WARM_UP_ROUNDS = 30
private const val MEASURED_ROUNDS = 21
private const val TASKS_PER_HOST = 32
private const val RECORDS_PER_BATCH = 125
private const val HEARTBEATS_PER_ROUND = 2_000
private const val WRITER = "other"

/** A single collection may keep objects that finalisation or reference queues still hold. */
private const val GARBAGE_COLLECTIONS = 3
private const val SMALL_PARTITION = 1_000
private const val MIDDLE_PARTITION = 4_000
private const val LARGE_PARTITION = 16_000
private const val TAKEOVER_READS = 10
private const val READ_EVERY_MILLIS = 2_000
private val LIMIT = Resources(milliCores = 100)

/** Runs the measurement. */
public fun main(): Unit = PartitionCost.run()

/** Returns the processor time of this thread. Unlike wall time, it excludes the time that other processes use. */
private fun threadCpuNanos(): Long = ManagementFactory.getThreadMXBean().currentThreadCpuTime

/** Measures the cost of a partition and prints one line per number of tasks. */
public object PartitionCost {
    /** Runs the measurement. Times are medians of the rounds. */
    public fun run() {
        println(
            "tasks  ns per folded record  ns per heartbeat  attempts per host  heap bytes per task  " +
                "snapshot bytes per task",
        )
        listOf(SMALL_PARTITION, MIDDLE_PARTITION, LARGE_PARTITION).forEach { tasks ->
            val fold = median { foldRound(tasks) }
            val heartbeats = HeartbeatRounds(tasks)
            val heartbeat = median { heartbeats.round() }
            val format = "%5d  %20d  %16d  %17d  %19d  %23d"
            println(format.format(tasks, fold, heartbeat, TASKS_PER_HOST, heapPerTask(tasks), snapshotPerTask(tasks)))
        }
    }

    private fun heapPerTask(tasks: Int): Long {
        val before = usedHeap()
        val state = runningTasks(tasks)
        val after = usedHeap()
        check(state.tasks.all.size == tasks)
        return (after - before) / tasks
    }

    private fun snapshotPerTask(tasks: Int): Int =
        Snapshot.take(runningTasks(tasks), WRITER).sumOf { BatchCodec.TASK_SNAPSHOTS.encode(it).size } / tasks

    private fun runningTasks(tasks: Int): PartitionState = PartitionState().also { TaskLog(it).startAll(tasks) }

    private fun usedHeap(): Long {
        repeat(GARBAGE_COLLECTIONS) { System.gc() }
        return ManagementFactory.getMemoryMXBean().heapMemoryUsage.used
    }

    private fun median(round: () -> Long): Long {
        repeat(WARM_UP_ROUNDS) { round() }
        return List(MEASURED_ROUNDS) { round() }.sorted()[MEASURED_ROUNDS / 2]
    }

    /** Folds a checkpoint, an eviction and a new assignment of each task into a state in which all tasks run. */
    private fun foldRound(tasks: Int): Long {
        val state = PartitionState()
        val log = TaskLog(state)
        log.startAll(tasks)
        val batches = log.batchesOfNextAttempts(tasks)
        val startNanos = threadCpuNanos()
        batches.forEach { state.fold(it.offset, it.batch) }
        return (threadCpuNanos() - startNanos) / batches.sumOf { it.batch.records.size }
    }
}

/** Creates the records of an owner in epoch 1 and folds them into [state]. */
private class TaskLog(
    private val state: PartitionState,
) {
    private val epoch = Epoch(1)

    fun startAll(tasks: Int) {
        append(listOf(TaskRecord.PartitionClaimed(EntryId("owner"), "address", Epoch.NONE)))
        names(tasks).chunked(RECORDS_PER_BATCH).forEach { append(it.map(::submitted)) }
        names(tasks).withIndex().chunked(RECORDS_PER_BATCH).forEach { part ->
            append(part.map { (index, name) -> assigned(name, index / TASKS_PER_HOST, FencingToken.NONE) })
        }
        names(tasks).chunked(RECORDS_PER_BATCH).forEach { part ->
            append(part.map { TaskRecord.Started(epoch, TaskId(it), tokenOf(it)) })
        }
    }

    /** Returns batches with a checkpoint, an eviction and a new assignment of each task. */
    fun batchesOfNextAttempts(tasks: Int): List<BatchAtOffset> {
        val records =
            names(tasks).mapIndexed { index, name ->
                val token = tokenOf(name)
                listOf(
                    TaskRecord.Checkpointed(epoch, TaskId(name), token, Checkpoint(number = 1, reference = "saved")),
                    TaskRecord.Released(epoch, TaskId(name), token, ReleaseReason.EVICTED),
                    assigned(name, index / TASKS_PER_HOST, token, Checkpoint(number = 1, reference = "saved")),
                )
            }
        return records.flatten().chunked(RECORDS_PER_BATCH).mapIndexed { index, part ->
            val offset = state.nextOffset + index
            BatchAtOffset(offset, TaskBatch(WRITER, offset + 1, part))
        }
    }

    private fun append(records: List<TaskRecord>) {
        state.fold(state.nextOffset, TaskBatch(WRITER, state.nextOffset + 1, records))
    }

    private fun tokenOf(name: String): FencingToken = checkNotNull(state.tasks[TaskId(name)]).lastToken

    private fun names(tasks: Int): List<String> = (0 until tasks).map { "task-$it" }

    private fun submitted(name: String): TaskRecord {
        val specification =
            TaskSpecification(TaskId(name), TeamName("team"), ProfileName("batch"), WorkKind("audit"), LIMIT)
        return TaskRecord.Submitted(specification, recordedAtEpochMillis = 1)
    }

    private fun assigned(
        name: String,
        host: Int,
        previousToken: FencingToken,
        resumeFrom: Checkpoint = Checkpoint.BEGINNING,
    ): TaskRecord = TaskRecord.Assigned(epoch, TaskId(name), HostId("host-$host"), previousToken, resumeFrom, LIMIT)
}

/** An owner of running tasks that handles the heartbeats of its hosts in turn. */
private class HeartbeatRounds(
    private val tasks: Int,
) {
    private val configuration =
        object : OwnerConfiguration {
            override fun ageMillis(now: Timestamp): Long = 0

            override fun isOut(failureDomain: FailureDomainName): Boolean = false
        }
    private val state = PartitionState().also { TaskLog(it).startAll(tasks) }
    private val owner =
        PartitionOwner(
            identity = OwnerIdentity(EntryId("b"), "address"),
            settings = OwnerSettings(),
            placement = PlacementPolicy { emptyList() },
            configuration = configuration,
            state = state,
        )
    private var now = 0L
    private var sequence = 0L

    init {
        takeOver()
    }

    /** Returns the processor time in nanoseconds per heartbeat of a host on which all attempts are still running. */
    fun round(): Long {
        val heartbeats = List(HEARTBEATS_PER_ROUND) { heartbeat(it % (tasks / TASKS_PER_HOST)) }
        val clock = ClockReading(Timestamp(now), epochMillis = now)
        val startNanos = threadCpuNanos()
        heartbeats.forEach { owner.handle(it, clock) }
        return (threadCpuNanos() - startNanos) / HEARTBEATS_PER_ROUND
    }

    private fun takeOver() {
        repeat(TAKEOVER_READS) {
            now += READ_EVERY_MILLIS
            val decisions = read(emptyList())
            val appended = decisions.filterIsInstance<OwnerDecision.Append>().map { it.batch }
            read(appended.mapIndexed { index, batch -> BatchAtOffset(state.nextOffset + index, batch) })
        }
        checkNotNull(owner.ownedEpoch)
    }

    private fun read(batches: List<BatchAtOffset>): List<OwnerDecision> {
        val next = state.nextOffset + batches.size
        val page = OwnerInput.PageRead(Timestamp(now), state.nextOffset, batches, next)
        return owner.handle(page, ClockReading(Timestamp(now), epochMillis = now))
    }

    private fun heartbeat(host: Int): OwnerInput.HostHeartbeat {
        val identifier = HostId("host-$host")
        val capacity = Resources(milliCores = 32_000)
        return OwnerInput.HostHeartbeat(
            host = identifier,
            incarnation = Incarnation(1),
            sequence = ++sequence,
            failureDomain = FailureDomainName("port"),
            rack = RackName("rack"),
            workerClock = Timestamp(now),
            highestEpoch = Epoch(2),
            capacity = capacity,
            free = capacity,
            attempts = state.tasks.on(identifier).map { HeldAttempt(it.id, it.lastToken, it.checkpoint) },
        )
    }
}
