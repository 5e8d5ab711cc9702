/*
 * Finds hosts that fail what they start. A failure counts against its host until the same task has failed on another
 * host too, so that tasks which fail everywhere put no host out of use.
 */
package org.greengagepass.core.process.jobs

/** Failures of hosts since their last success. */
public class HostReliability {
    private val failures = HashMap<HostIncarnation, LinkedHashSet<TaskKey>>()

    /** Unexplained failures of [host] since its last success. */
    public fun failuresOf(host: HostIncarnation): Int = failures[host]?.size ?: 0

    /** A task was done on [host]. */
    public fun succeeded(host: HostIncarnation) {
        failures.remove(host)
    }

    /** [task] failed on [host]; [failedBeforeOn] is where it failed before. Returns how long to pause the host. */
    public fun failed(
        host: HostIncarnation,
        task: TaskKey,
        failedBeforeOn: HostIncarnation?,
    ): Long {
        if (failedBeforeOn != null && failedBeforeOn != host) {
            failures[failedBeforeOn]?.remove(task)
            return 0
        }
        val row = failures.getOrPut(host) { LinkedHashSet() }
        row += task
        if (row.size > ROW_MAXIMUM) row.remove(row.first())
        return if (row.size >= PAUSING_FAILURES) PAUSE_MILLIS * (row.size - PAUSING_FAILURES + 1) else 0
    }

    /** Forgets [host], whose life has ended. */
    public fun forget(host: HostIncarnation) {
        failures.remove(host)
    }

    private companion object {
        /** One failure may be the task's own. */
        private const val PAUSING_FAILURES = 2

        /** Time until a failing host gets its next task, for each failure beyond the first. */
        private const val PAUSE_MILLIS = 1_500L

        /** Failures that lengthen the pause. */
        private const val ROW_MAXIMUM = 6
    }
}
