/*
 * Withdraws start commands that a host has no capacity for any more. An executor that does not check its capacity would
 * carry them out, also when they arrive or are repeated long after it has shrunk.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Resources

/** Checks the runs of hosts against their capacity. */
internal class CapacityGuard(
    private val transitions: RunTransitions,
) {
    /** Rules out the latest starts of [host] that are not confirmed, as far as its runs exceed its capacity. */
    fun withdrawStarts(
        host: Host,
        moment: Moment,
    ) {
        var excess = host.reserved()
        host.runs.values
            .filter { !it.isConfirmed && it.stopRequestedAt == null }
            .sortedByDescending { it.placedAt }
            .forEach { placed ->
                if (excess.fitsIn(host.description.capacity)) return
                if (placed.task.step.reservation != Resources.NONE) {
                    transitions.stop(host, placed, StopReason.NO_CAPACITY, moment)
                    excess -= placed.task.step.reservation
                }
            }
    }

    /** True if the runs on [host], with those that are starting or being stopped, fit its capacity. */
    fun hasCapacity(host: Host): Boolean = host.reserved().fitsIn(host.description.capacity)
}
