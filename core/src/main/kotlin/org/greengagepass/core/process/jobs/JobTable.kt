/*
 * All jobs that the scheduler knows, which of them have changed since the last write, and what callers may be told.
 */
package org.greengagepass.core.process.jobs

/** The scheduler's jobs. */
public class JobTable(
    jobs: List<Job> = emptyList(),
) {
    private val jobs = jobs.associateByTo(LinkedHashMap()) { it.id }
    private val shown = HashMap<JobId, JobStatus>(jobs.associate { it.id to it.status() })
    private val undefined = LinkedHashSet<JobId>()
    private val changed = LinkedHashSet<JobId>()
    private val removed = LinkedHashSet<JobId>()

    /** Jobs with tasks left to do. */
    public val active: MutableMap<JobId, Job> =
        jobs.filter { it.outcome == JobOutcome.ACTIVE }.associateByTo(LinkedHashMap()) { it.id }

    /** The job with [id], stored or not. */
    public operator fun get(id: JobId): Job? = jobs[id]

    /** All jobs, stored or not. */
    public fun all(): Collection<Job> = jobs.values

    /** What a caller may be told of [id]; null if no such job is stored. */
    public fun shownStatus(id: JobId): JobStatus? = shown[id]

    /** Jobs of [queue] that are stored and have not begun. */
    public fun pendingOf(queue: QueueName): Int =
        active.values.count {
            it.definition.queue.name == queue && shown[it.id] == JobStatus.QUEUED
        }

    /** Adds a new [job]. */
    public fun add(job: Job) {
        jobs[job.id] = job
        active[job.id] = job
        undefined += job.id
        changed += job.id
    }

    /** [job] differs from what is stored. */
    public fun touch(job: Job) {
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
        touch(job)
    }

    /** Forgets jobs that ended before [epochMillis] and have no run left. */
    public fun forgetEndedBefore(epochMillis: Long) {
        val expired = jobs.values.filter { (it.endedAtEpochMillis ?: Long.MAX_VALUE) < epochMillis }
        expired.filter { job -> job.tasks.all { it.placedOn == null } }.forEach { job ->
            jobs.remove(job.id)
            shown.remove(job.id)
            changed.remove(job.id)
            removed += job.id
        }
    }

    /** True if something has to be written. */
    public val hasChanges: Boolean
        get() = changed.isNotEmpty() || removed.isNotEmpty()

    /** The records that bring the store up to date, and what callers may be told once these are stored. */
    public fun takeChanges(): JobTableChange {
        val records =
            changed.mapNotNull { jobs[it] }.flatMap { job ->
                listOfNotNull(
                    if (job.id in undefined) JobRecords.definition(job) else null,
                    JobRecords.progress(job),
                )
            } + removed.flatMap { JobRecords.removals(it) }
        val statuses = changed.mapNotNull { id -> jobs[id]?.let { id to it.status() } }.toMap()
        undefined.clear()
        changed.clear()
        removed.clear()
        return JobTableChange(records, statuses)
    }

    /** [change] is stored. */
    public fun stored(change: JobTableChange) {
        change.statuses.forEach { (id, status) -> if (id in jobs) shown[id] = status }
    }
}

/** Changes that are written together. */
public data class JobTableChange(
    val records: List<StateRecord>,
    internal val statuses: Map<JobId, JobStatus>,
)
