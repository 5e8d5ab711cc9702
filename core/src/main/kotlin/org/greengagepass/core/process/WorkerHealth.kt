/*
 * Finds workers that fail what they start. A failure counts against the worker only once the task has run on another
 * host, so that tasks which fail everywhere put no worker out of use.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Whether a worker may receive tasks. */
public sealed class WorkerAvailability {
    /** The worker may receive tasks. */
    public data object Available : WorkerAvailability()

    /** The worker receives one task, whose outcome decides. */
    public data object ProbeDue : WorkerAvailability()

    /** The worker receives nothing before [probeAt]. */
    public data class Quarantined(
        val probeAt: Timestamp,
    ) : WorkerAvailability()
}

/** Failures in a row by host, and the quarantine that follows. Times are readings of the owner's clock. */
public class WorkerHealth {
    private val rows = HashMap<HostId, LinkedHashSet<TaskId>>()
    private val runners = BoundedRunners()
    private val quarantines = HashMap<HostId, Quarantine>()

    /** Failures in a row on [host], whether or not their tasks have run elsewhere yet. */
    public fun consecutiveFailures(host: HostId): Int = rows[host]?.size ?: 0

    /** An attempt of [taskId] made progress or finished on [host]. */
    public fun ran(
        host: HostId,
        taskId: TaskId,
        now: Timestamp,
    ) {
        runners.add(taskId, host)
        rows.remove(host)
        quarantines.remove(host)
        rows.keys.toList().forEach { other -> quarantineIfProven(other, now) }
    }

    /** An attempt of [taskId] failed on [host]. */
    public fun failed(
        host: HostId,
        taskId: TaskId,
        now: Timestamp,
    ) {
        val row = rows.getOrPut(host) { LinkedHashSet() }
        row.add(taskId)
        if (row.size > ROW_KEPT) row.remove(row.first())
        val quarantine = quarantines[host]
        if (quarantine == null) {
            quarantineIfProven(host, now)
        } else if (quarantine.probe == taskId) {
            val interval = (quarantine.intervalMillis * 2).coerceAtMost(PROBE_INTERVAL_MAXIMUM_MILLIS)
            quarantines[host] = Quarantine(interval, probeAt = now.plusMillis(interval))
        }
    }

    /** [taskId] was placed on [host]; if a probe was due, it is the probe. */
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
        val proven = rows[host].orEmpty().count { runners.ranElsewhere(it, host) }
        if (proven < FAILURES_IN_ROW || host in quarantines) return
        quarantines[host] = Quarantine(PROBE_INTERVAL_MILLIS, probeAt = now.plusMillis(PROBE_INTERVAL_MILLIS))
    }

    private data class Quarantine(
        val intervalMillis: Long,
        val probeAt: Timestamp,
        val probe: TaskId? = null,
    )

    public companion object {
        /** Failures in a row of different tasks that run elsewhere, after which a worker is quarantined. */
        public const val FAILURES_IN_ROW: Int = 3

        /** Time until the first probe. */
        public const val PROBE_INTERVAL_MILLIS: Long = 30_000

        /** Longest time between probes. */
        public const val PROBE_INTERVAL_MAXIMUM_MILLIS: Long = 600_000

        /** Most failures remembered for one worker. */
        public const val ROW_KEPT: Int = 64
    }
}

/** The last two different hosts on which each task ran. Bounded: the tasks seen first are dropped first. */
private class BoundedRunners {
    private val hostsByTask = LinkedHashMap<TaskId, List<HostId>>()

    fun add(
        taskId: TaskId,
        host: HostId,
    ) {
        val known = hostsByTask.remove(taskId).orEmpty()
        hostsByTask[taskId] = (listOf(host) + known).distinct().take(2)
        if (hostsByTask.size > TASKS_REMEMBERED) hostsByTask.remove(hostsByTask.keys.first())
    }

    fun ranElsewhere(
        taskId: TaskId,
        host: HostId,
    ): Boolean = hostsByTask[taskId].orEmpty().any { it != host }
}

private const val TASKS_REMEMBERED = 20_000
