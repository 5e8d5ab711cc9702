/*
 * All hosts that the scheduler knows and the runs placed on them. A host stays in the table until all its runs have
 * certainly ended.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.HostId
import org.greengagepass.core.Timestamp

/** The scheduler's hosts. */
public class HostTable(
    private val settings: SchedulerSettings,
) {
    private val hosts = LinkedHashMap<HostIncarnation, Host>()

    /** Start of the latest incarnation of each host that has connected; the earlier ones have ended. */
    private val latestStarts = HashMap<HostId, Long>()

    /** The last incarnation of each host that is known to have ended. */
    private val lastEnded = HashMap<HostId, HostIncarnation>()

    /** The host with [incarnation], or null. */
    public operator fun get(incarnation: HostIncarnation): Host? = hosts[incarnation]

    /** All hosts. */
    public fun all(): Collection<Host> = hosts.values

    /** Placed runs of [job], each with its host. */
    public fun runsOf(job: JobId): List<Pair<Host, PlacedRun>> =
        hosts.values.flatMap { host ->
            host.runs.values
                .filter { it.run.task.job == job }
                .map { host to it }
        }

    /** Adds a host from the stored state. Its lease from an earlier leader may last until the takeover bound. */
    internal fun addRestored(
        description: HostDescription,
        leadershipStartedAt: Timestamp,
    ): Host =
        hosts.getOrPut(description.incarnation) {
            Host(description).apply { leaseExpiresAt = leadershipStartedAt.plusMillis(settings.takeoverBoundMillis) }
        }

    /** True if [incarnation] has deregistered or a later one of its host has connected. */
    public fun hasEnded(incarnation: HostIncarnation): Boolean =
        incarnation == lastEnded[incarnation.host] ||
            incarnation.startedAtEpochMillis < (latestStarts[incarnation.host] ?: Long.MIN_VALUE)

    /** Adds or updates a host that has just connected. */
    internal fun connect(description: HostDescription): Host {
        val host = hosts.getOrPut(description.incarnation) { Host(description) }
        latestStarts.merge(description.incarnation.host, description.incarnation.startedAtEpochMillis, ::maxOf)
        host.describe(description)
        host.isConnected = true
        host.runs.values.forEach {
            it.isConfirmed = false
            it.isCommandSent = false
            it.isStartExcluded = false
            it.settledAfterPoll = Long.MAX_VALUE
        }
        host.processedEnds = 0
        return host
    }

    /** Earlier incarnations of the host of [incarnation], which have ended. */
    internal fun earlierIncarnations(incarnation: HostIncarnation): List<Host> =
        hosts.values.filter {
            it.incarnation.host == incarnation.host &&
                it.incarnation.startedAtEpochMillis < incarnation.startedAtEpochMillis
        }

    internal fun remove(incarnation: HostIncarnation) {
        hosts.remove(incarnation)
    }

    /** Removes [incarnation], which has ended. Later messages about it are outdated. */
    internal fun end(incarnation: HostIncarnation) {
        hosts.remove(incarnation)
        lastEnded[incarnation.host] = incarnation
    }

    /**
     * Extends the lease of [host], which reported [hostClockMillis] and is answered at [now]. Returns the end of the
     * lease as a reading of the host's clock.
     */
    internal fun extendLease(
        host: Host,
        hostClockMillis: Long,
        now: Timestamp,
    ): Long {
        host.leaseUntilHostClock = maxOf(host.leaseUntilHostClock, hostClockMillis + settings.leaseMillis)
        host.leaseExpiresAt = maxOf(host.leaseExpiresAt, now.plusMillis(settings.leaseBoundMillis))
        return host.leaseUntilHostClock
    }
}
