/*
 * The job scheduler as one object: its input is messages and clock readings, its output is records to store and effects
 * to carry out. It has no clock, network or threads of its own.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Changes to store, and the effects to carry out once they are stored. */
public data class SchedulerBatch(
    val change: JobTableChange,
    val effects: List<SchedulerEffect>,
)

/** Schedules the jobs in [jobs] from [leadershipStartedAt] on, with the estimates in [storedRecords]. */
public class JobScheduler(
    settings: SchedulerSettings,
    jobs: JobTable,
    leadershipStartedAt: Timestamp,
    storedRecords: List<StateRecord> = emptyList(),
) {
    /** State that the decisions are based on. */
    public val state: SchedulerState = SchedulerState(settings, jobs, leadershipStartedAt, storedRecords)

    private var estimatesDueAt = leadershipStartedAt.plusMillis(ESTIMATES_INTERVAL_MILLIS)
    private var now = leadershipStartedAt
    private val transitions = RunTransitions(state)
    private val taskPlacer = TaskPlacer(state, transitions)
    private val latencyController = LatencyController(state)
    private val stalledRunStopper = StalledRunStopper(state, transitions)
    private val overdueRunMover = OverdueRunMover(state, transitions)
    private val throttledRunMover = ThrottledRunMover(state, transitions)

    /** Handles requests of callers. */
    public val callers: CallerRequestHandler = CallerRequestHandler(state, transitions)

    /** Handles messages of hosts. */
    public val hosts: HostMessageHandler = HostMessageHandler(state, transitions)

    /** Applies [configuration] unless it is older than the present one. */
    public fun configure(configuration: JobConfiguration) {
        if (configuration.version >= state.configuration.version) state.configuration = configuration
    }

    /** Makes all decisions that are due at [moment]. Tasks are placed and throttled runs moved only if [mayStart]. */
    public fun tick(
        moment: Moment,
        mayStart: Boolean,
    ) {
        now = moment.now
        hosts.expireLeases(now)
        stalledRunStopper.stop(moment)
        overdueRunMover.move(moment)
        latencyController.adjust(moment)
        if (mayStart) throttledRunMover.move(moment)
        if (mayStart) taskPlacer.placeTasks(moment)
        val retainedSince = moment.epochMillis - state.settings.retentionMillis
        state.jobs.removeEndedBefore(retainedSince)
        state.earlyCancels.removeBefore(retainedSince)
    }

    /** Takes the effects that don't wait for the store. */
    public fun takeImmediate(): List<SchedulerEffect> = state.effects.takeImmediate()

    /** Takes the next batch, or null if there are no changes to store and no effects that wait for them. */
    public fun takeBatch(): SchedulerBatch? {
        val hasChanges = state.jobs.hasChanges || state.earlyCancels.hasChanges
        if (!hasChanges && !state.effects.isWaitingForStore) return null
        val ofJobs = state.jobs.takeChanges()
        val change = ofJobs.copy(records = ofJobs.records + state.earlyCancels.takeRecords())
        return SchedulerBatch(
            if (change.records.isEmpty()) change else withEstimates(change),
            state.effects.takeAfterStored(),
        )
    }

    /** Adds the estimates to a change that is written anyway, so that they cost no append of their own. */
    private fun withEstimates(change: JobTableChange): JobTableChange {
        if (now < estimatesDueAt) return change
        estimatesDueAt = now.plusMillis(ESTIMATES_INTERVAL_MILLIS)
        return change.copy(records = change.records + state.interference.record())
    }

    /** Handles the confirmation that [batch] is stored. */
    public fun stored(batch: SchedulerBatch): Unit = state.jobs.stored(batch.change)

    private companion object {
        /** Half of the pairs that matter are learnt within some seconds of the first task of their image. */
        private const val ESTIMATES_INTERVAL_MILLIS = 2_000L
    }
}
