/*
 * Stops runs that use no processor time although they are not throttled, so that their tasks resume on another host.
 * The stall counts as a failure of the host, since the next task would most likely stall there too.
 */
package org.greengagepass.core.process.jobs

/** Stops stalled runs of [state]. */
internal class StalledRunStopper(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    /** Stops runs that have made no progress for too long. */
    fun stop(moment: Moment) {
        state.hosts.all().filter { it.isConnected }.forEach { host ->
            host.runs.values.filter { isStalled(host, it, moment) }.forEach { placed ->
                transitions.stop(host, placed, StopReason.STALLED, moment)
                placed.task.stalls += 1
                placed.task.failedOn = host.incarnation
                val avoidanceMillis = state.reliability.failed(host.incarnation, placed.task.key, failedBeforeOn = null)
                host.avoidUntil(moment.now.plusMillis(avoidanceMillis))
            }
        }
    }

    /** A host that does not report shows nothing about its runs, so only the time over which it reports counts. */
    private fun isStalled(
        host: Host,
        placed: PlacedRun,
        moment: Moment,
    ): Boolean {
        if (!host.isResponsive(moment.now) || !isIdle(placed)) {
            placed.stalledSince = null
            return false
        }
        val since = placed.stalledSince ?: moment.now.also { placed.stalledSince = it }
        return moment.now.millisSince(since) >= state.settings.stalledMillis
    }

    /**
     * True if the run uses no processor time at full speed. Excludes serving tasks, which report their latency, and
     * tasks that stood still on other hosts before, which most likely wait for input.
     */
    private fun isIdle(placed: PlacedRun): Boolean =
        placed.stopRequestedAt == null &&
            placed.task.stalls < STALLS_MAXIMUM &&
            placed.speedPercent == PlacedRun.FULL_SPEED_PERCENT &&
            !placed.isServing &&
            placed.lastStatus?.measurement == 0

    private companion object {
        /** Two hosts may fail alike, as the machines of a rack do. */
        private const val STALLS_MAXIMUM = 2
    }
}
