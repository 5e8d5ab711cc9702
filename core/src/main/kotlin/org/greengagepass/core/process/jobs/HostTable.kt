/*
 * All hosts that the scheduler knows and the runs on them. A host stays in the table until what may run on it is
 * certain to have ended.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** The scheduler's hosts. */
public class HostTable(
    private val settings: SchedulerSettings,
) {
    private val hosts = LinkedHashMap<HostIncarnation, Host>()

    /** The life [incarnation] of a host, or null. */
    public operator fun get(incarnation: HostIncarnation): Host? = hosts[incarnation]

    /** All hosts. */
    public fun all(): Collection<Host> = hosts.values

    /** Hosts that hold or held runs of [job]. */
    public fun holding(job: JobId): List<Pair<Host, HeldRun>> =
        hosts.values.flatMap { host ->
            host.runs.values
                .filter { it.run.task.job == job }
                .map { host to it }
        }

    /** Adds a host that an earlier scheduler may have granted a lease until the takeover bound has passed. */
    internal fun addUnseen(
        description: HostDescription,
        startedLeadingAt: Timestamp,
    ): Host =
        hosts.getOrPut(description.incarnation) {
            Host(description).apply { lapsesAt = startedLeadingAt.plusMillis(settings.takeoverBoundMillis) }
        }

    /** Adds or updates a host that has just connected. */
    internal fun connect(description: HostDescription): Host {
        val host = hosts.getOrPut(description.incarnation) { Host(description) }
        host.description = description
        host.isConnected = true
        host.runs.values.forEach {
            it.isConfirmed = false
            it.isOrdered = false
            it.isRuledOut = false
            it.settledAfterPoll = Long.MAX_VALUE
        }
        host.processedEnds = 0
        return host
    }

    /** Other lives of the same host as [incarnation], which have ended if they are older. */
    internal fun earlierLives(incarnation: HostIncarnation): List<Host> =
        hosts.values.filter {
            it.incarnation.host == incarnation.host &&
                it.incarnation.startedAtEpochMillis < incarnation.startedAtEpochMillis
        }

    internal fun remove(incarnation: HostIncarnation) {
        hosts.remove(incarnation)
    }

    /** The lease that follows from a report which shows [hostClockMillis] and is answered at [now]. */
    internal fun extendLease(
        host: Host,
        hostClockMillis: Long,
        now: Timestamp,
    ): Long {
        host.leaseUntilHostClock = maxOf(host.leaseUntilHostClock, hostClockMillis + settings.leaseMillis)
        host.lapsesAt = maxOf(host.lapsesAt, now.plusMillis(settings.leaseBoundMillis))
        return host.leaseUntilHostClock
    }
}
