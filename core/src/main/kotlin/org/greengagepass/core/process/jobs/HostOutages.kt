/*
 * Recent outages of hosts, to recognise several hosts that went down together. Their cause is the rack, the failure
 * domain or something else that they share, and not a task on one of them.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Timestamp
import kotlin.math.abs

/** A moment at which the executor of [incarnation] stopped answering, and the jobs with tasks on it. */
internal data class HostOutage(
    val incarnation: HostIncarnation,
    val rack: RackName,
    val failureDomain: FailureDomainName,
    val beganAt: Timestamp,
    val jobs: Set<JobId>,
    /** True if the host held a suspect on trial, which explains the outage. */
    val isExplained: Boolean,
) {
    /** The outage, explained if [job] had tasks on the host. */
    fun explainedBy(job: JobId): HostOutage = copy(isExplained = isExplained || job in jobs)
}

/** Outages of the last seconds. */
internal class HostOutages {
    private val outages = LinkedHashMap<HostIncarnation, HostOutage>()

    /** Records [outage] unless one of the same incarnation is recorded, and returns the recorded one. */
    fun record(
        outage: HostOutage,
        now: Timestamp,
    ): HostOutage {
        outages.values.removeIf { now.millisSince(it.beganAt) > RETENTION_MILLIS }
        return outages.getOrPut(outage.incarnation) { outage }
    }

    /** The executor of [incarnation] answers again. */
    fun remove(incarnation: HostIncarnation) {
        outages.remove(incarnation)
    }

    /** Number of recorded outages of [host]. */
    fun countOf(host: HostId): Int = outages.keys.count { it.host == host }

    /** Outages of hosts with tasks of [job] are explained, since the job has been given up. */
    fun explain(job: JobId): Unit = outages.replaceAll { _, outage -> outage.explainedBy(job) }

    /**
     * Suspicions of a task that suffice to give up its job. The second crash, without another suspect on the host, is
     * enough unless hosts go down so often for other causes that it may be chance.
     */
    fun suspicionsNeeded(hosts: Collection<Host>): Int {
        val unexplained = outages.values.count { !it.isExplained }
        val hostCount = hosts.mapTo(HashSet()) { it.incarnation.host }.size.coerceAtLeast(1)
        return (SUSPICIONS_MINIMUM + unexplained / hostCount).coerceAtMost(SUSPICIONS_MAXIMUM)
    }

    /** The cause that [outage] shares with others among [hosts], or null if there is none. */
    fun commonCause(
        outage: HostOutage,
        hosts: Collection<Host>,
    ): String? {
        val together = outages.values.filter { !it.isExplained && isWithin(it, outage, TOGETHER_MILLIS) }
        val down = together.mapTo(HashSet()) { it.incarnation.host }
        val others = hosts.filter { it.incarnation.host != outage.incarnation.host }
        val rackPeers = others.filter { it.description.rack == outage.rack && outage.rack.value.isNotEmpty() }
        val domainPeers =
            others.filter {
                it.description.failureDomain == outage.failureDomain && outage.failureDomain.value.isNotEmpty()
            }
        val isRackDown = rackPeers.isNotEmpty() && rackPeers.all { it.incarnation.host in down }
        val isDomainDown = domainPeers.isNotEmpty() && domainPeers.all { it.incarnation.host in down }
        return when {
            isRackDown -> "all hosts of rack ${outage.rack.value} went down"
            isDomainDown -> "all hosts of failure domain ${outage.failureDomain.value} went down"
            else -> simultaneousCause(outage, hosts.mapTo(HashSet()) { it.incarnation.host }.size)
        }
    }

    /** Tasks of one job may crash several hosts at once; without a job that was on all of them it was no task. */
    private fun simultaneousCause(
        outage: HostOutage,
        hostCount: Int,
    ): String? {
        val atOnce = outages.values.filter { it !== outage && !it.isExplained && isWithin(it, outage, AT_ONCE_MILLIS) }
        val isMany = atOnce.size + 1 >= maxOf(AT_ONCE_HOSTS_MINIMUM, hostCount / AT_ONCE_HOSTS_DIVISOR)
        val sharedJobs = atOnce.fold(outage.jobs) { shared, other -> shared intersect other.jobs }
        return if (isMany && sharedJobs.isEmpty()) "${atOnce.size + 1} hosts went down at once" else null
    }

    private fun isWithin(
        other: HostOutage,
        outage: HostOutage,
        millis: Long,
    ): Boolean = abs(other.beganAt.millisSince(outage.beganAt)) <= millis

    private companion object {
        /** Long enough to see a host that fails again and again for reasons of its own. */
        private const val RETENTION_MILLIS = 30_000L

        private const val SUSPICIONS_MINIMUM = 2

        /** Leaves one start in reserve, since a task may be started twice after three crashes. */
        private const val SUSPICIONS_MAXIMUM = 4

        /** Agents notice a lost executor within one poll. */
        private const val TOGETHER_MILLIS = 1_000L
        private const val AT_ONCE_MILLIS = 300L

        /** Two crashes at once are likely enough by chance while several tasks crash their executors. */
        private const val AT_ONCE_HOSTS_MINIMUM = 3

        /** One host in twenty, for fleets where several independent crashes at once are likely. */
        private const val AT_ONCE_HOSTS_DIVISOR = 20
    }
}
