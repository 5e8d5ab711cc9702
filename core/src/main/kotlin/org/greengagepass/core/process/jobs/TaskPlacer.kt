/*
 * Places waiting tasks on hosts. Jobs are ordered by the priority of their queue and then by their objective, so that
 * under load the work with the nearest objective comes first. Each task is placed on the host with the lowest score of
 * those that meet its constraints.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp

/** Places tasks of [state]. */
internal class TaskPlacer(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val scoring = HostScoring(state)
    private val waitLog = WaitLog(state, state.waits, scoring.constraints)

    /** Places all tasks that can be placed at [moment]. */
    fun placeTasks(moment: Moment) {
        val candidates = scoring.candidates(moment)
        val avoided = scoring.avoidedCandidates(moment)
        val unplaceable = HashSet<PlacementClass>()
        val order = PlacementOrder(moment.epochMillis)
        val jobs =
            state.jobs.active.values
                .sortedBy { order.rank(it, state.queueOf(it).priority) }
        val readySteps = jobs.flatMap { readySteps(it, moment) }
        state.waits.update(readySteps.flatMap { boundedWaits(it, moment.now) }, moment.now)
        if (candidates.isNotEmpty()) {
            state.trials.reserve(jobs, candidates, scoring.constraints, moment.now)
            val pools = candidates.groupBy { it.host.description.pool }
            readySteps.forEach { placeStep(it, pools[state.queueOf(it.job).pool].orEmpty(), unplaceable, moment) }
        }
        if (avoided.isNotEmpty()) readySteps.forEach { placeOverdue(it, avoided, moment) }
        waitLog.write(candidates, moment)
    }

    /** The steps of [job] whose tasks may start, in each occurrence. */
    private fun readySteps(
        job: Job,
        moment: Moment,
    ): List<ReadyStep> {
        val specification = job.definition.specification
        return (0 until specification.occurrences).flatMap { occurrence ->
            specification.steps.indices
                .filter { job.isReady(occurrence, it, moment.epochMillis) }
                .map { ReadyStep(job, specification.steps[it], job.tasksOf(occurrence, it)) }
        }
    }

    /** The tasks of [ready] that wait and whose wait is bounded. */
    private fun boundedWaits(
        ready: ReadyStep,
        now: Timestamp,
    ): List<JobTask> {
        val waiting = ready.tasks.filter { it.mayBePlaced(now) }
        return when {
            ready.step.lifetime == StepLifetime.STANDING || ready.step.coordination == StepCoordination.GANG -> waiting
            waiting.isEmpty() -> emptyList()
            ready.job.tasks.any { it.placedOn != null } -> waiting.filter { it.crashHistory.isSuspect }
            else -> waiting.filter { it === waiting.first() || it.crashHistory.isSuspect }
        }
    }

    private fun placeStep(
        ready: ReadyStep,
        poolCandidates: List<HostCandidate>,
        unplaceable: MutableSet<PlacementClass>,
        moment: Moment,
    ) {
        when (ready.step.coordination) {
            StepCoordination.INDEPENDENT -> placeEach(ready.job, ready.tasks, poolCandidates, unplaceable, moment)
            StepCoordination.GANG -> placeGang(ready.job, ready.tasks, poolCandidates, moment)
        }
    }

    /** Tries tasks that have waited too long on hosts that are avoided because tasks fail there. */
    private fun placeOverdue(
        ready: ReadyStep,
        avoided: List<HostCandidate>,
        moment: Moment,
    ) {
        if (ready.step.coordination == StepCoordination.GANG) return
        val pool = state.queueOf(ready.job).pool
        ready.tasks.filter { it.mayBePlaced(moment.now) && state.waits.isOverdue(it) }.forEach { task ->
            val candidates = avoided.filter { it.host.description.pool == pool && it.mayBeTried }
            placeOne(ready.job, task, ready.tasks, PlacementOptions(candidates, moment, isStarved = true))
        }
    }

    /** Skips classes in [unplaceable], which fit no host in this round, to keep a long queue of equal tasks cheap. */
    private fun placeEach(
        job: Job,
        tasks: List<JobTask>,
        poolCandidates: List<HostCandidate>,
        unplaceable: MutableSet<PlacementClass>,
        moment: Moment,
    ) {
        val step = tasks.first().step
        val (suspects, others) = tasks.filter { it.state == TaskState.Waiting }.partition { it.crashHistory.isSuspect }
        val urgent = PlacementOptions(poolCandidates, moment, isStarved = true)
        suspects.filter { it.mayBePlaced(moment.now) }.forEach { placeOne(job, it, tasks, urgent) }
        others.filter(state.waits::isOverdue).forEach { placeOne(job, it, tasks, urgent) }
        placeStarved(job, tasks, poolCandidates, moment)
        val placementClass = PlacementClass(state.queueOf(job).pool.value, step.demand, step.constraints, step.sharing)
        if (placementClass in unplaceable) return
        val isPlaced =
            others
                .filter {
                    it.state == TaskState.Waiting
                }.all { placeOne(job, it, tasks, PlacementOptions(poolCandidates, moment)) }
        if (!isPlaced && step.constraints.tasksPerHostMaximum == null) unplaceable += placementClass
    }

    /** Places one task of a job that has had no task on a host for too long, so that every job makes progress. */
    private fun placeStarved(
        job: Job,
        tasks: List<JobTask>,
        poolCandidates: List<HostCandidate>,
        moment: Moment,
    ) {
        if (job.tasks.any { it.placedOn != null }) {
            job.idleSince = null
            return
        }
        val since = job.idleSince ?: moment.now.also { job.idleSince = it }
        if (moment.now.millisSince(since) < STARVATION_MILLIS) return
        tasks
            .firstOrNull { it.state == TaskState.Waiting && !it.crashHistory.isSuspect }
            ?.let { placeOne(job, it, tasks, PlacementOptions(poolCandidates, moment, isStarved = true)) }
    }

    private fun placeOne(
        job: Job,
        task: JobTask,
        siblings: List<JobTask>,
        options: PlacementOptions,
    ): Boolean {
        val moment = options.moment
        val candidate = scoring.best(task, siblings, options.candidates, moment.now, options.isStarved) ?: return false
        scoring.addTask(task, candidate)
        transitions.place(job, task, candidate.host, task.lastRun + 1, moment)
        return true
    }

    private fun placeGang(
        job: Job,
        tasks: List<JobTask>,
        poolCandidates: List<HostCandidate>,
        moment: Moment,
    ) {
        if (tasks.any { it.state != TaskState.Waiting }) return
        val assigned = ArrayList<Pair<JobTask, HostCandidate>>()
        for (task in tasks) {
            val candidate = scoring.best(task, tasks, poolCandidates, moment.now)
            if (candidate == null) {
                assigned.forEach { (member, other) -> other.removeTask(member) }
                return
            }
            scoring.addTask(task, candidate)
            assigned += task to candidate
        }
        val number = tasks.maxOf { it.lastRun } + 1
        val checkpoint = tasks.maxByOrNull { it.lastRun }?.checkpoint.orEmpty()
        assigned.forEach { (task, candidate) ->
            task.checkpoint = checkpoint
            transitions.place(job, task, candidate.host, number, moment)
        }
    }
}

/** A [step] of [job] whose [tasks] of one occurrence may start. */
private class ReadyStep(
    val job: Job,
    val step: StepSpecification,
    val tasks: List<JobTask>,
)

/** Candidates for a task. For a starved job only the hard constraints apply. */
private class PlacementOptions(
    val candidates: List<HostCandidate>,
    val moment: Moment,
    val isStarved: Boolean = false,
)

/** Time in milliseconds without a task on a host after which a job may use hosts where it slows serving tasks. */
private const val STARVATION_MILLIS = 1_200L

/** Class of tasks that may be placed on the same hosts. */
private data class PlacementClass(
    val pool: String,
    val demand: Resources,
    val constraints: StepConstraints,
    val sharing: StepSharing,
)
