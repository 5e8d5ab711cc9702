/*
 * Everything that the scheduler's decisions read and change, and the effects that wait for their state to be stored.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp

/** One moment on the scheduler's monotonic clock and in calendar time. */
public data class Moment(
    val now: Timestamp,
    val epochMillis: Long,
)

/** What the operators have configured, as far as it concerns jobs. */
public data class JobConfiguration(
    val version: Long = 0,
    val queues: Map<QueueName, QueueDefinition> = emptyMap(),
    val failureDomainsOut: Set<FailureDomainName> = emptySet(),
)

/** State of one scheduler from the begin of its leadership. */
public class SchedulerState(
    public val settings: SchedulerSettings,
    public val jobs: JobTable,
    startedLeadingAt: Timestamp,
) {
    /** The hosts. */
    public val hosts: HostTable = HostTable(settings)

    /** Which hosts fail what they start. */
    public val reliability: HostReliability = HostReliability()

    /** What tasks do to their neighbours. */
    public val interference: Interference = Interference()

    /** The newest configuration. */
    public var configuration: JobConfiguration = JobConfiguration()
        internal set

    internal val outbox = Outbox()

    init {
        jobs.all().forEach { job -> job.tasks.forEach { restore(it, startedLeadingAt) } }
    }

    /** What the operators say now of the queue of [job], or what they said when it was accepted. */
    public fun queueOf(job: Job): QueueDefinition =
        configuration.queues[job.definition.queue.name] ?: job.definition.queue

    /** True if [host] may get tasks at [moment]. */
    internal fun mayPlaceOn(
        host: Host,
        moment: Moment,
    ): Boolean =
        host.isResponsive(moment.now) &&
            !host.description.isDraining &&
            host.leaseUntilHostClock > 0 &&
            moment.now >= host.pausedUntil &&
            host.description.failureDomain !in configuration.failureDomainsOut

    private fun restore(
        entry: JobTask,
        startedLeadingAt: Timestamp,
    ) {
        val incarnation = entry.placedOn ?: return
        val host = hosts.addUnseen(unseen(incarnation), startedLeadingAt)
        host.runs[entry.key] = HeldRun(entry, entry.run, startedLeadingAt)
    }

    private fun unseen(incarnation: HostIncarnation) =
        HostDescription(
            incarnation = incarnation,
            pool = ServiceName(""),
            failureDomain = FailureDomainName(""),
            rack = RackName(""),
            labels = emptyList(),
            capacity = Resources.NONE,
        )
}

/** Effects that are still to be carried out. */
internal class Outbox {
    private var afterStore = ArrayList<SchedulerEffect>()
    private var immediate = ArrayList<SchedulerEffect>()

    /** Carries out [effect] once all changes made so far are stored. */
    fun afterStore(effect: SchedulerEffect) {
        afterStore += effect
    }

    /** Carries out [effect] without waiting for the store. */
    fun now(effect: SchedulerEffect) {
        immediate += effect
    }

    /** Logs [decision]. */
    fun note(decision: Decision) {
        immediate += SchedulerEffect.LogDecision(decision)
    }

    fun takeImmediate(): List<SchedulerEffect> = immediate.also { immediate = ArrayList() }

    fun takeAfterStore(): List<SchedulerEffect> = afterStore.also { afterStore = ArrayList() }

    val waitsForStore: Boolean
        get() = afterStore.isNotEmpty()
}
