/*
 * Stops runs that use no processor time although they are not slowed, so that they go on elsewhere. Their host then
 * counts as failing, since it most likely stalls the next task too.
 */
package org.greengagepass.core.process.jobs

/** Finds stalled runs in [state]. */
internal class StalledRuns(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Stops what has stood still for too long. */
    fun stop(moment: Moment) {
        state.hosts.all().filter { it.isConnected }.forEach { host ->
            host.runs.values.filter { isStalled(it, moment) }.forEach { held ->
                transitions.stop(host, held, StopReason.STALLED, moment)
                held.entry.failedOn = host.incarnation
                val pauseMillis = state.reliability.failed(host.incarnation, held.entry.key, failedBeforeOn = null)
                host.pauseUntil(moment.now.plusMillis(pauseMillis))
            }
        }
    }

    private fun isStalled(
        held: HeldRun,
        moment: Moment,
    ): Boolean {
        if (!isIdle(held)) {
            held.stalledSince = null
            return false
        }
        val since = held.stalledSince ?: moment.now.also { held.stalledSince = it }
        return moment.now.millisSince(since) >= state.settings.stalledMillis
    }

    /** A serving task reports its latency, which says nothing of its progress. */
    private fun isIdle(held: HeldRun): Boolean =
        held.stopRequestedAt == null &&
            held.speedPercent == HeldRun.FULL_SPEED_PERCENT &&
            !held.isServing &&
            held.lastStatus?.measurement == 0
}
