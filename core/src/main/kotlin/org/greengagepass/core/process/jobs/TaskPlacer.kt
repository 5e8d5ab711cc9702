/*
 * Gives waiting tasks to hosts. Jobs come by the priority of their queue and then by their objective, so that under
 * load the work whose objective is nearest goes first; each task takes the host with the lowest score of those that
 * have room.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources

/** Places tasks of [state]. */
internal class TaskPlacer(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val scoring = HostScoring(state)

    /** Places what can be placed at [moment]. */
    fun run(moment: Moment) {
        val rooms = scoring.rooms(moment)
        if (rooms.isEmpty()) return
        val waitedFor = HashSet<PlacementClass>()
        val order = PlacementOrder(moment.epochMillis)
        state.jobs.active.values
            .sortedBy { order.rank(it, state.queueOf(it).priority) }
            .forEach { placeJob(it, rooms, waitedFor, moment) }
    }

    private fun placeJob(
        job: Job,
        rooms: List<HostRoom>,
        waitedFor: MutableSet<PlacementClass>,
        moment: Moment,
    ) {
        val pool = rooms.filter { it.host.description.pool == state.queueOf(job).pool }
        val steps = job.definition.specification.steps
        for (occurrence in 0 until job.definition.specification.occurrences) {
            steps.indices
                .filter { job.isReady(occurrence, it, moment.epochMillis) }
                .forEach { step ->
                    val tasks = job.tasksOf(occurrence, step)
                    when (steps[step].coordination) {
                        StepCoordination.INDEPENDENT -> placeSingly(job, tasks, pool, waitedFor, moment)
                        StepCoordination.GANG -> placeTogether(job, tasks, pool, moment)
                    }
                }
        }
    }

    /** [waitedFor] holds what found no room in this round, so that a long queue of equal tasks costs little. */
    private fun placeSingly(
        job: Job,
        tasks: List<JobTask>,
        pool: List<HostRoom>,
        waitedFor: MutableSet<PlacementClass>,
        moment: Moment,
    ) {
        val step = tasks.first().step
        placeStarved(job, tasks, pool, moment)
        val placementClass = PlacementClass(state.queueOf(job).pool.value, step.demand, step.constraints, step.sharing)
        if (placementClass in waitedFor) return
        val waiting = tasks.filter { it.state == TaskState.Waiting }
        val isPlaced = waiting.all { placeOne(job, it, tasks, PlacementOffer(pool, moment)) }
        if (!isPlaced && step.constraints.tasksPerHostMaximum == null) waitedFor += placementClass
    }

    /** Places one task of a job that has had nothing on a host for too long, so that every job goes on. */
    private fun placeStarved(
        job: Job,
        tasks: List<JobTask>,
        pool: List<HostRoom>,
        moment: Moment,
    ) {
        if (job.tasks.any { it.placedOn != null }) {
            job.idleSince = null
            return
        }
        val since = job.idleSince ?: moment.now.also { job.idleSince = it }
        if (moment.now.millisSince(since) < STARVED_MILLIS) return
        tasks
            .firstOrNull { it.state == TaskState.Waiting }
            ?.let { placeOne(job, it, tasks, PlacementOffer(pool, moment, isStarved = true)) }
    }

    private fun placeOne(
        job: Job,
        entry: JobTask,
        siblings: List<JobTask>,
        offer: PlacementOffer,
    ): Boolean {
        val moment = offer.moment
        val room = scoring.best(entry, siblings, offer.rooms, moment.now, offer.isStarved) ?: return false
        scoring.take(entry.step, room)
        transitions.place(job, entry, room.host, entry.lastRun + 1, moment)
        return true
    }

    private fun placeTogether(
        job: Job,
        tasks: List<JobTask>,
        pool: List<HostRoom>,
        moment: Moment,
    ) {
        if (tasks.any { it.state != TaskState.Waiting }) return
        val taken = ArrayList<Pair<JobTask, HostRoom>>()
        for (entry in tasks) {
            val room = scoring.best(entry, tasks, pool, moment.now)
            if (room == null) {
                taken.forEach { (member, used) -> used.giveBack(member.step) }
                return
            }
            scoring.take(entry.step, room)
            taken += entry to room
        }
        val number = tasks.maxOf { it.lastRun } + 1
        val checkpoint = tasks.maxByOrNull { it.lastRun }?.checkpoint.orEmpty()
        taken.forEach { (entry, room) ->
            entry.checkpoint = checkpoint
            transitions.place(job, entry, room.host, number, moment)
        }
    }
}

/** The hosts that a task may choose from; one of a job that has waited for too long is not choosy. */
private class PlacementOffer(
    val rooms: List<HostRoom>,
    val moment: Moment,
    val isStarved: Boolean = false,
)

/** Longest time that a job waits for room that disturbs nobody while nothing of it is on a host, in milliseconds. */
private const val STARVED_MILLIS = 1_200L

/** Tasks that fit the same hosts. */
private data class PlacementClass(
    val pool: String,
    val demand: Resources,
    val constraints: StepConstraints,
    val sharing: StepSharing,
)
