/*
 * All jobs that the scheduler knows, their changes since the last write, and the statuses that callers may see.
 */
package org.greengagepass.core.process.jobs

/** The scheduler's jobs. */
public class JobTable(
    jobs: List<Job> = emptyList(),
) {
    private val jobs = jobs.associateByTo(LinkedHashMap()) { it.id }
    private val visibleStatuses = HashMap<JobId, JobStatus>(jobs.associate { it.id to it.status() })
    private val unwrittenDefinitions = LinkedHashSet<JobId>()
    private val changed = LinkedHashSet<JobId>()
    private val removed = LinkedHashSet<JobId>()

    /** Jobs with tasks that are not done. */
    public val active: MutableMap<JobId, Job> =
        jobs.filter { it.outcome == JobOutcome.ACTIVE }.associateByTo(LinkedHashMap()) { it.id }

    /** The job with [id], stored or not. */
    public operator fun get(id: JobId): Job? = jobs[id]

    /** All jobs, stored or not. */
    public fun all(): Collection<Job> = jobs.values

    /** Stored status of [id], which callers may see; null if no such job is stored. */
    public fun visibleStatus(id: JobId): JobStatus? = visibleStatuses[id]

    /** Number of jobs of [queue] that are stored and have not begun. */
    public fun pendingOf(queue: QueueName): Int =
        active.values.count {
            it.definition.queue.name == queue && visibleStatuses[it.id] == JobStatus.QUEUED
        }

    /** Adds a new [job]. */
    public fun add(job: Job) {
        jobs[job.id] = job
        active[job.id] = job
        unwrittenDefinitions += job.id
        changed += job.id
    }

    /** Marks [job] as different from its stored records. */
    public fun markChanged(job: Job) {
        changed += job.id
    }

    /** Ends [job] with [outcome]. */
    public fun end(
        job: Job,
        outcome: JobOutcome,
        nowEpochMillis: Long,
    ) {
        job.outcome = outcome
        job.endedAtEpochMillis = nowEpochMillis
        active.remove(job.id)
        markChanged(job)
    }

    /** Removes jobs that ended before [epochMillis] and have no placed run. */
    public fun removeEndedBefore(epochMillis: Long) {
        val expired = jobs.values.filter { (it.endedAtEpochMillis ?: Long.MAX_VALUE) < epochMillis }
        expired.filter { job -> job.tasks.all { it.placedOn == null } }.forEach { job ->
            jobs.remove(job.id)
            visibleStatuses.remove(job.id)
            changed.remove(job.id)
            removed += job.id
        }
    }

    /** True if there are changes to write. */
    public val hasChanges: Boolean
        get() = changed.isNotEmpty() || removed.isNotEmpty()

    /** Takes the records to write, and the statuses that callers may see once the records are stored. */
    public fun takeChanges(): JobTableChange {
        val records =
            changed.mapNotNull { jobs[it] }.flatMap { job ->
                listOfNotNull(
                    if (job.id in unwrittenDefinitions) JobRecords.definition(job) else null,
                    JobRecords.progress(job),
                )
            } + removed.flatMap { JobRecords.removals(it) }
        val statuses = changed.mapNotNull { id -> jobs[id]?.let { id to it.status() } }.toMap()
        unwrittenDefinitions.clear()
        changed.clear()
        removed.clear()
        return JobTableChange(records, statuses)
    }

    /** Makes the statuses in [change], which is now stored, visible to callers. */
    public fun stored(change: JobTableChange) {
        change.statuses.forEach { (id, status) -> if (id in jobs) visibleStatuses[id] = status }
    }
}

/** Changes that are written together. */
public data class JobTableChange(
    val records: List<StateRecord>,
    internal val statuses: Map<JobId, JobStatus>,
)
