/*
 * Detects workers on which tasks fail. A failure counts against the worker only once the task has run on another host,
 * so that tasks which fail everywhere cause no quarantine.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Whether a worker may receive tasks. */
public sealed class WorkerAvailability {
    /** The worker may receive tasks. */
    public data object Available : WorkerAvailability()

    /** The worker may receive one task as a probe, whose outcome decides on the quarantine. */
    public data object ProbeDue : WorkerAvailability()

    /** The worker receives no task before [probeAt]. */
    public data class Quarantined(
        val probeAt: Timestamp,
    ) : WorkerAvailability()
}

/** Consecutive failures by host, and the resulting quarantines. Times are readings of the owner's clock. */
public class WorkerHealth {
    private val failedTasks = HashMap<HostId, LinkedHashSet<TaskId>>()
    private val recentHosts = RecentHosts()
    private val quarantines = HashMap<HostId, Quarantine>()

    /** Consecutive failures on [host], whether or not their tasks have run elsewhere yet. */
    public fun consecutiveFailures(host: HostId): Int = failedTasks[host]?.size ?: 0

    /** Handles that an attempt of [taskId] made progress or finished on [host]. */
    public fun ran(
        host: HostId,
        taskId: TaskId,
        now: Timestamp,
    ) {
        recentHosts.add(taskId, host)
        failedTasks.remove(host)
        quarantines.remove(host)
        failedTasks.keys.toList().forEach { other -> quarantineIfProven(other, now) }
    }

    /** Handles that an attempt of [taskId] failed on [host]. */
    public fun failed(
        host: HostId,
        taskId: TaskId,
        now: Timestamp,
    ) {
        val failed = failedTasks.getOrPut(host) { LinkedHashSet() }
        failed.add(taskId)
        if (failed.size > FAILURES_KEPT) failed.remove(failed.first())
        val quarantine = quarantines[host]
        if (quarantine == null) {
            quarantineIfProven(host, now)
        } else if (quarantine.probe == taskId) {
            val interval = (quarantine.intervalMillis * 2).coerceAtMost(PROBE_INTERVAL_MAXIMUM_MILLIS)
            quarantines[host] = Quarantine(interval, probeAt = now.plusMillis(interval))
        }
    }

    /** Handles that [taskId] was placed on [host]; if a probe is due, the task is the probe. */
    public fun placed(
        host: HostId,
        taskId: TaskId,
        now: Timestamp,
    ) {
        val quarantine = quarantines[host] ?: return
        val next = now.plusMillis(quarantine.intervalMillis)
        quarantines[host] = quarantine.copy(probe = taskId, probeAt = next)
    }

    /** Whether [host] may receive tasks at [now]. */
    public fun availability(
        host: HostId,
        now: Timestamp,
    ): WorkerAvailability {
        val quarantine = quarantines[host] ?: return WorkerAvailability.Available
        return if (now >= quarantine.probeAt) {
            WorkerAvailability.ProbeDue
        } else {
            WorkerAvailability.Quarantined(quarantine.probeAt)
        }
    }

    private fun quarantineIfProven(
        host: HostId,
        now: Timestamp,
    ) {
        val proven = failedTasks[host].orEmpty().count { recentHosts.ranElsewhere(it, host) }
        if (proven < QUARANTINE_FAILURES || host in quarantines) return
        quarantines[host] = Quarantine(PROBE_INTERVAL_MILLIS, probeAt = now.plusMillis(PROBE_INTERVAL_MILLIS))
    }

    private data class Quarantine(
        val intervalMillis: Long,
        val probeAt: Timestamp,
        val probe: TaskId? = null,
    )

    public companion object {
        /** Consecutive failures, of different tasks that ran elsewhere, after which a worker is quarantined. */
        public const val QUARANTINE_FAILURES: Int = 3

        /** Time until the first probe. */
        public const val PROBE_INTERVAL_MILLIS: Long = 30_000

        /** Maximum time between probes. */
        public const val PROBE_INTERVAL_MAXIMUM_MILLIS: Long = 600_000

        /** Maximum number of failures kept for one worker. */
        public const val FAILURES_KEPT: Int = 64
    }
}

/** The last two different hosts on which each task ran. Bounded: the task that ran least recently is dropped first. */
private class RecentHosts {
    private val hostsByTask = LinkedHashMap<TaskId, List<HostId>>()

    fun add(
        taskId: TaskId,
        host: HostId,
    ) {
        val known = hostsByTask.remove(taskId).orEmpty()
        hostsByTask[taskId] = (listOf(host) + known).distinct().take(2)
        if (hostsByTask.size > TASKS_KEPT) hostsByTask.remove(hostsByTask.keys.first())
    }

    fun ranElsewhere(
        taskId: TaskId,
        host: HostId,
    ): Boolean = hostsByTask[taskId].orEmpty().any { it != host }
}

private const val TASKS_KEPT = 20_000
