/*
 * State that the scheduler's decisions read and change, and the effects that are still to be carried out.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp

/** One moment as a reading of the scheduler's monotonic clock and as calendar time. */
public data class Moment(
    val now: Timestamp,
    val epochMillis: Long,
)

/** The part of the operators' configuration that concerns jobs. */
public data class JobConfiguration(
    val version: Long = 0,
    val queues: Map<QueueName, QueueDefinition> = emptyMap(),
    val failureDomainsOut: Set<FailureDomainName> = emptySet(),
)

/** State of one scheduler since the start of its leadership. */
public class SchedulerState(
    public val settings: SchedulerSettings,
    public val jobs: JobTable,
    leadershipStartedAt: Timestamp,
    storedRecords: List<StateRecord> = emptyList(),
) {
    /** The hosts. */
    public val hosts: HostTable = HostTable(settings)

    /** Failures on the hosts. */
    public val reliability: HostReliability = HostReliability()

    /** Recent outages of hosts. */
    internal val outages: HostOutages = HostOutages()

    /** Active jobs that may have tasks under which an executor has crashed. */
    internal val suspectJobs: MutableSet<JobId> =
        jobs.active.values
            .filter { job -> job.tasks.any { it.crashHistory.isSuspect } }
            .mapTo(LinkedHashSet()) { it.id }

    /** Waits of tasks for a host. */
    internal val waits: PlacementWaits = PlacementWaits()

    /** Hosts that are set aside for such tasks. */
    internal val trials: TrialHosts = TrialHosts(this)

    /** Effects of best-effort tasks on serving tasks. */
    public val interference: InterferenceEstimates = InterferenceEstimates(storedRecords, leadershipStartedAt)

    /** Cancels of jobs that were not known. */
    internal val earlyCancels: EarlyCancels = EarlyCancels(storedRecords)

    /** The newest configuration. */
    public var configuration: JobConfiguration = JobConfiguration()
        internal set

    internal val effects = PendingEffects()

    init {
        jobs.all().forEach { job -> job.tasks.forEach { restore(it, leadershipStartedAt) } }
    }

    /** The present definition of the queue of [job], or the one at its acceptance if the queue no longer exists. */
    public fun queueOf(job: Job): QueueDefinition =
        configuration.queues[job.definition.queue.name] ?: job.definition.queue

    /** True if tasks may be placed on [host] at [moment]. */
    internal fun mayPlaceOn(
        host: Host,
        moment: Moment,
    ): Boolean = isAvailable(host, moment) && moment.now >= maxOf(host.pausedUntil, host.avoidedUntil)

    /** True if [host] is avoided because tasks fail there, but could start a task at [moment]. */
    internal fun mayTryOn(
        host: Host,
        moment: Moment,
    ): Boolean = isAvailable(host, moment) && moment.now >= host.pausedUntil && moment.now < host.avoidedUntil

    /** True if [host] could start tasks at [moment], whether it is paused or avoided or not. */
    internal fun isAvailable(
        host: Host,
        moment: Moment,
    ): Boolean =
        host.isResponsive(moment.now) &&
            host.silentSince == null &&
            !host.description.isDraining &&
            host.leaseUntilHostClock > 0 &&
            host.description.failureDomain !in configuration.failureDomainsOut

    /** Records that a host has started [run], so that its job has begun. */
    internal fun runStarted(run: TaskRun) {
        val job = jobs[run.task.job]?.takeUnless { it.hasBegun } ?: return
        job.hasBegun = true
        jobs.markChanged(job)
    }

    private fun restore(
        task: JobTask,
        leadershipStartedAt: Timestamp,
    ) {
        val incarnation = task.placedOn ?: return
        val host = hosts.addRestored(placeholderDescription(incarnation), leadershipStartedAt)
        host.runs[task.key] = PlacedRun(task, task.run, leadershipStartedAt).apply { hasEarlierStart = true }
    }

    private fun placeholderDescription(incarnation: HostIncarnation) =
        HostDescription(
            incarnation = incarnation,
            pool = ServiceName(""),
            failureDomain = FailureDomainName(""),
            rack = RackName(""),
            labels = emptyList(),
            capacity = Resources.NONE,
        )
}

/** Effects that are still to be carried out, in order. */
internal class PendingEffects {
    private var afterStored = ArrayList<SchedulerEffect>()
    private var immediate = ArrayList<SchedulerEffect>()

    /** Carries out [effect] once all changes made so far are stored. */
    fun afterStored(effect: SchedulerEffect) {
        afterStored += effect
    }

    /** Carries out [effect] without waiting for the store. */
    fun immediately(effect: SchedulerEffect) {
        immediate += effect
    }

    /** Logs [decision]. */
    fun logDecision(decision: Decision) {
        immediate += SchedulerEffect.LogDecision(decision)
    }

    fun takeImmediate(): List<SchedulerEffect> = immediate.also { immediate = ArrayList() }

    fun takeAfterStored(): List<SchedulerEffect> = afterStored.also { afterStored = ArrayList() }

    val isWaitingForStore: Boolean
        get() = afterStored.isNotEmpty()
}
