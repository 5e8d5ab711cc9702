/*
 * Hosts that are set aside for suspects: tasks under which an executor has crashed. A host on trial takes the suspects
 * of one job and no other task until they have lasted for their trial, so that a second crash has one job to blame.
 * Runs that are proven not to crash their executor stay there. A trial may last for 10 s and hosts are few, so a
 * task that has waited too long is placed on any host, if possible on one without a trial.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Hosts of [state] that are set aside. */
internal class TrialHosts(
    private val state: SchedulerState,
) {
    private val jobsByHost = LinkedHashMap<HostIncarnation, JobId>()

    /** Job whose suspects alone may be placed on a host, as of the last round of placement. */
    private var exclusiveJobs = mapOf<HostIncarnation, JobId>()

    private val waits = state.waits

    /** Sets hosts among [candidates] aside for the waiting suspects of [jobs], in their order. */
    fun reserve(
        jobs: List<Job>,
        candidates: List<HostCandidate>,
        constraints: HostConstraints,
        now: Timestamp,
    ) {
        if (state.suspectJobs.isEmpty() && exclusiveJobs.isEmpty()) return
        val suspects =
            jobs
                .filter { it.id in state.suspectJobs }
                .associateWith { job -> job.tasks.filter { it.crashHistory.isSuspect } }
        state.suspectJobs.retainAll(suspects.filterValues { it.isNotEmpty() }.keys.mapTo(HashSet()) { it.id })
        val byIncarnation = candidates.associateBy { it.host.incarnation }
        val waiting = suspects.mapValues { (_, tasks) -> tasks.filter { it.mayBePlaced(now) } }
        jobsByHost.entries.removeIf { (host, id) ->
            val candidate = byIncarnation[host]
            val tasks = state.jobs[id]?.let { waiting[it] }.orEmpty()
            candidate == null ||
                (!hasSuspectOf(candidate.host, id) && tasks.none { mayTry(it, candidate, constraints) })
        }
        waiting.filterValues { it.isNotEmpty() }.forEach { (job, tasks) ->
            val share = if (tasks.any(waits::needsMoreHosts)) EXCLUSIVE_SHARE else RESERVED_SHARE
            if (job.id !in jobsByHost.values) reserveFor(job, tasks, candidates, constraints, share)
        }
        exclusiveJobs =
            candidates
                .groupBy { it.host.description.pool }
                .values
                .flatMap(::exclusiveIn)
                .toMap()
    }

    /** The hosts among those of one pool that take the suspects of one job only. Reserved hosts come first. */
    private fun exclusiveIn(pool: List<HostCandidate>): List<Pair<HostIncarnation, JobId>> =
        pool
            .sortedBy { it.host.incarnation !in jobsByHost }
            .mapNotNull { candidate ->
                val incarnation = candidate.host.incarnation
                (jobsByHost[incarnation] ?: suspectJob(candidate.host))?.let { incarnation to it }
            }.take(limit(pool.size, EXCLUSIVE_SHARE))

    private fun limit(
        hosts: Int,
        share: Double,
    ): Int = maxOf(1, (hosts * share).toInt())

    private fun reserveFor(
        job: Job,
        tasks: List<JobTask>,
        candidates: List<HostCandidate>,
        constraints: HostConstraints,
        share: Double,
    ) {
        val pool = candidates.filter { it.host.description.pool == state.queueOf(job).pool }
        if (pool.count { it.host.incarnation in jobsByHost } >= limit(pool.size, share)) return
        val free = pool.filter { it.host.incarnation !in jobsByHost && suspectJob(it.host) == null }
        val chosen =
            free
                .filter { candidate -> tasks.any { mayTry(it, candidate, constraints) } }
                .minWithOrNull(
                    compareBy(
                        { state.outages.countOf(it.host.incarnation.host) >= REPEATED_OUTAGES },
                        {
                            it.host.runs.values
                                .any { placed -> !placed.isProven }
                        },
                        { it.host.runs.size },
                    ),
                ) ?: return
        jobsByHost[chosen.host.incarnation] = job.id
    }

    /** True if [task] may be placed on [host] as far as trials are concerned. */
    fun allow(
        task: JobTask,
        host: Host,
    ): Boolean {
        val reservedFor = exclusiveJobs[host.incarnation]
        val isSuspect = task.crashHistory.isSuspect
        val isKeptOut =
            when {
                reservedFor != null ->
                    !isSuspect || task.key.job != reservedFor || !hasOnlySuspectsOf(host, reservedFor)
                // The members of a gang run on several hosts, more than one of which may never be set aside.
                isSuspect -> task.step.coordination != StepCoordination.GANG || host.runs.values.any { !it.isProven }
                else -> false
            }
        // One suspect after another may be on trial, so what has waited too long does not wait for their end.
        return !isKeptOut || waits.isOverdue(task)
    }

    /** Cost of placing [task] on [host], which is lower for hosts on which it disturbs no trial. */
    fun cost(
        task: JobTask,
        host: Host,
    ): Double {
        val reservedFor = exclusiveJobs[host.incarnation]
        val onTrial = if (task.crashHistory.isSuspect) suspectJob(host) else null
        val disturbsTrial = (reservedFor ?: onTrial ?: task.key.job) != task.key.job
        return if (disturbsTrial) DISTURBED_TRIAL_COST else 0.0
    }

    private fun mayTry(
        task: JobTask,
        candidate: HostCandidate,
        constraints: HostConstraints,
    ): Boolean = constraints.isFeasible(task, candidate, isStarved = true)

    private fun suspectJob(host: Host): JobId? =
        host.runs.values
            .firstOrNull { it.isOnTrial }
            ?.run
            ?.task
            ?.job

    private fun hasSuspectOf(
        host: Host,
        job: JobId,
    ): Boolean = host.runs.values.any { it.isOnTrial && it.run.task.job == job }

    private fun hasOnlySuspectsOf(
        host: Host,
        job: JobId,
    ): Boolean = host.runs.values.all { it.isProven || (it.isOnTrial && it.run.task.job == job) }

    private companion object {
        /** Share of a pool that is set aside, so that other tasks keep starting. */
        private const val RESERVED_SHARE = 1.0 / 3

        /** Share of a pool that is set aside while suspects have waited long, and that other tasks may not use. */
        private const val EXCLUSIVE_SHARE = 2.0 / 3

        /** Outweighs the load of a host and the distance to the data. */
        private const val DISTURBED_TRIAL_COST = 4.0

        /** A host that went down more than once recently may fail for reasons of its own. */
        private const val REPEATED_OUTAGES = 2
    }
}
