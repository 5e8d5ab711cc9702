/*
 * The scheduler of jobs as one object: messages and the passing of time come in; records to store and effects come
 * out. It has no clock, no network and no threads of its own.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Changes to store, and what to do once they are. */
public data class SchedulerBatch(
    val change: JobTableChange,
    val effects: List<SchedulerEffect>,
)

/** Schedules the jobs in [jobs] from [startedLeadingAt] on. */
public class JobScheduler(
    settings: SchedulerSettings,
    jobs: JobTable,
    startedLeadingAt: Timestamp,
) {
    /** What the scheduler knows. */
    public val state: SchedulerState = SchedulerState(settings, jobs, startedLeadingAt)

    private val transitions = RunTransitions(state)
    private val placement = TaskPlacer(state, transitions)
    private val guard = InterferenceGuard(state)
    private val stalls = StalledRuns(state, transitions)
    private val slowRuns = SlowRuns(state, transitions)
    private val crowdedRuns = CrowdedRuns(state, transitions)

    /** Handles calls of callers. */
    public val callers: CallerRequestHandler = CallerRequestHandler(state, transitions)

    /** Handles messages of hosts. */
    public val hosts: HostMessageHandler = HostMessageHandler(state, transitions)

    /** Takes a newer configuration. */
    public fun configure(configuration: JobConfiguration) {
        if (configuration.version >= state.configuration.version) state.configuration = configuration
    }

    /** Does what time brings. Tasks are placed only if [mayStart]. */
    public fun tick(
        moment: Moment,
        mayStart: Boolean,
    ) {
        hosts.expireLeases(moment.now)
        stalls.stop(moment)
        slowRuns.move(moment)
        guard.adjust(moment)
        if (mayStart) crowdedRuns.move(moment)
        if (mayStart) placement.run(moment)
        state.jobs.forgetEndedBefore(moment.epochMillis - state.settings.retentionMillis)
    }

    /** Effects that don't wait for the store. */
    public fun takeImmediate(): List<SchedulerEffect> = state.outbox.takeImmediate()

    /** What has to be stored next, or null if there is nothing to store and nothing waits for it. */
    public fun takeBatch(): SchedulerBatch? =
        if (state.jobs.hasChanges || state.outbox.waitsForStore) {
            SchedulerBatch(state.jobs.takeChanges(), state.outbox.takeAfterStore())
        } else {
            null
        }

    /** [batch] is stored. */
    public fun stored(batch: SchedulerBatch): Unit = state.jobs.stored(batch.change)
}
