/*
 * Detects hosts on which tasks fail. A failure counts against its host until the same task has failed on another host
 * too, so that a task that fails everywhere does not exclude any host from placement.
 */
package org.greengagepass.core.process.jobs

/** Counts the failures on each host since its last success. */
public class HostReliability {
    private val failures = HashMap<HostIncarnation, LinkedHashSet<TaskKey>>()

    /** Number of failures on [host] since its last success that the task itself does not explain. */
    public fun failuresOf(host: HostIncarnation): Int = failures[host]?.size ?: 0

    /** Records that a task succeeded on [host]. */
    public fun succeeded(host: HostIncarnation) {
        failures.remove(host)
    }

    /**
     * Records that [task] failed on [host]; [failedBeforeOn] is the host of its previous failure, if any. Returns for
     * how many milliseconds to avoid the host.
     */
    public fun failed(
        host: HostIncarnation,
        task: TaskKey,
        failedBeforeOn: HostIncarnation?,
    ): Long {
        if (failedBeforeOn != null && failedBeforeOn != host) {
            failures[failedBeforeOn]?.remove(task)
            return 0
        }
        val unexplained = failures.getOrPut(host) { LinkedHashSet() }
        unexplained += task
        if (unexplained.size > FAILURES_MAXIMUM) unexplained.remove(unexplained.first())
        return AVOIDANCE_MILLIS * (unexplained.size - EXCUSED_FAILURES).coerceAtLeast(0)
    }

    /** Removes [host], whose incarnation has ended. */
    public fun remove(host: HostIncarnation) {
        failures.remove(host)
    }

    private companion object {
        /** A single failure may be the task's own fault. */
        private const val EXCUSED_FAILURES = 1

        /** Avoidance of a failing host for each failure beyond the first. */
        private const val AVOIDANCE_MILLIS = 1_500L

        /** Failures beyond this number do not lengthen it. */
        private const val FAILURES_MAXIMUM = 6
    }
}
