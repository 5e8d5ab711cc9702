/*
 * Stored records of a job: its definition, written once, and its progress, written whenever it changes. The newest
 * progress replaces all earlier ones, so that a new leader reads one record of each kind for each job.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import kotlinx.serialization.decodeFromByteArray
import kotlinx.serialization.encodeToByteArray

/** A record of the scheduler's state; a record without a value removes its key. */
public data class StateRecord(
    val key: String,
    val value: ByteArray?,
) {
    override fun equals(other: Any?): Boolean =
        other is StateRecord && key == other.key && value.contentEquals(other.value)

    override fun hashCode(): Int = key.hashCode()
}

/** Progress of one task that has been placed at least once. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TaskProgress(
    val position: Int,
    val isDone: Boolean,
    val run: Int,
    val failures: Int,
    /** Index in [JobProgress.hosts] of the host that the task is placed on; -1 if there is none. */
    val host: Int,
    val checkpoint: String,
)

/** Crashes of executors while the task at [position] was on them. */
@Serializable
internal data class TaskCrashes(
    val position: Int,
    val history: CrashHistory,
)

/** The changing part of a job. */
@Serializable
internal data class JobProgress(
    val outcome: JobOutcome,
    val hasBegun: Boolean,
    val endedAtEpochMillis: Long?,
    val hosts: List<HostIncarnation>,
    val tasks: List<TaskProgress>,
    /** Tasks under which executors have crashed. */
    val crashes: List<TaskCrashes> = emptyList(),
)

/** Encodes jobs as records and decodes them. */
@OptIn(ExperimentalSerializationApi::class)
internal object JobRecords {
    private const val DEFINITION_PREFIX = "definition/"
    private const val PROGRESS_PREFIX = "progress/"
    private val format = Cbor { ignoreUnknownKeys = true }

    fun definition(job: Job): StateRecord =
        StateRecord(DEFINITION_PREFIX + job.id.value, format.encodeToByteArray(job.definition))

    /** Length of [specification] in the record of a job's definition, in bytes. */
    fun bytesOf(specification: JobSpecification): Int = format.encodeToByteArray(specification).size

    fun progress(job: Job): StateRecord =
        StateRecord(PROGRESS_PREFIX + job.id.value, format.encodeToByteArray(progressOf(job)))

    fun removals(id: JobId): List<StateRecord> =
        listOf(StateRecord(DEFINITION_PREFIX + id.value, null), StateRecord(PROGRESS_PREFIX + id.value, null))

    /** Decodes the jobs in [records], which hold the newest record of each key. */
    fun jobs(records: List<StateRecord>): List<Job> {
        val values = records.mapNotNull { record -> record.value?.let { record.key to it } }.toMap()
        return values.keys
            .filter { it.startsWith(DEFINITION_PREFIX) }
            .map { key ->
                val id = JobId(key.removePrefix(DEFINITION_PREFIX))
                val job = Job(id, format.decodeFromByteArray(values.getValue(key)))
                values[PROGRESS_PREFIX + id.value]?.let { restore(job, format.decodeFromByteArray(it)) }
                job
            }
    }

    private fun progressOf(job: Job): JobProgress {
        val hosts = job.tasks.mapNotNull { it.placedOn }.distinct()
        val tasks =
            job.tasks.mapIndexedNotNull { position, task ->
                TaskProgress(
                    position = position,
                    isDone = task.state == TaskState.Done,
                    run = task.lastRun,
                    failures = task.failures,
                    host = hosts.indexOf(task.placedOn),
                    checkpoint = if (task.state == TaskState.Done) "" else task.checkpoint,
                ).takeIf { task.lastRun > 0 }
            }
        val crashes =
            job.tasks.mapIndexedNotNull { position, task ->
                TaskCrashes(position, task.crashHistory).takeIf { task.crashHistory != CrashHistory() }
            }
        return JobProgress(job.outcome, job.hasBegun, job.endedAtEpochMillis, hosts, tasks, crashes)
    }

    private fun restore(
        job: Job,
        progress: JobProgress,
    ) {
        job.outcome = progress.outcome
        job.hasBegun = progress.hasBegun
        job.endedAtEpochMillis = progress.endedAtEpochMillis
        progress.crashes.forEach { job.tasks[it.position].crashHistory = it.history }
        progress.tasks.forEach { stored ->
            val task = job.tasks[stored.position]
            task.lastRun = stored.run
            task.failures = stored.failures
            task.checkpoint = stored.checkpoint
            task.state =
                when {
                    stored.isDone -> TaskState.Done
                    stored.host >= 0 -> TaskState.Placed(progress.hosts[stored.host])
                    else -> TaskState.Waiting
                }
        }
    }
}

/** Stored jobs. */
public object StoredJobs {
    /**
     * Longest specification that the scheduler takes, in bytes. A message between its processes has up to 1 MiB, and
     * the store takes 2 MiB in one call.
     */
    public const val SPECIFICATION_BYTES_MAXIMUM: Int = 900_000

    /** True if [specification] can be sent to the leader and stored. */
    public fun canStore(specification: JobSpecification): Boolean =
        JobRecords.bytesOf(specification) <= SPECIFICATION_BYTES_MAXIMUM

    /** Decodes the jobs in [records], which hold the newest record of each key. */
    public fun decode(records: List<StateRecord>): List<Job> = JobRecords.jobs(records)
}
