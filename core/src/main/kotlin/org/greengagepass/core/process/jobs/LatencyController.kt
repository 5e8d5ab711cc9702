/*
 * Keeps the latency of serving tasks within their objectives: throttles the best-effort tasks on the same host that
 * slow them most, as far as needed, and accelerates them again as far as the headroom permits. Measurements lag, so
 * each change is followed by a pause before the next one.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Throttles best-effort tasks on the hosts of [state]. */
internal class LatencyController(
    private val state: SchedulerState,
) {
    private val changedAt = HashMap<HostIncarnation, Timestamp>()

    /** Adjusts the speed of best-effort tasks on every responsive host. */
    fun adjust(moment: Moment) {
        changedAt.keys.retainAll { state.hosts[it] != null }
        state.hosts
            .all()
            .filter { it.isResponsive(moment.now) }
            .forEach { adjustHost(it, moment.now) }
    }

    private fun adjustHost(
        host: Host,
        now: Timestamp,
    ) {
        val bestEffortRuns = host.bestEffortRuns().filter { it.isConfirmed }
        val sinceChange = changedAt[host.incarnation]?.let { now.millisSince(it) } ?: Long.MAX_VALUE
        if (bestEffortRuns.isEmpty() || sinceChange < SETTLING_MILLIS) return
        val latencyExcesses = state.interference.latencyExcesses(host)
        val worst = latencyExcesses.values.maxOrNull() ?: -1.0
        val speeds =
            when {
                worst > 0 -> throttled(host, bestEffortRuns, latencyExcesses.filterValues { it > 0 })
                worst < -HEADROOM_MINIMUM -> accelerated(host, bestEffortRuns, latencyExcesses)
                else -> emptyMap()
            }.filter { (placed, percent) -> placed.speedPercent != percent }
        if (speeds.isEmpty()) return
        changedAt[host.incarnation] = now
        speeds.forEach { (placed, percent) -> throttle(host, placed, percent) }
        val detail = "latency excess ${(worst * PERCENT).toInt()}%, speed percents ${speeds.values.joinToString()}"
        state.effects.logDecision(Decision("paced", host = host.incarnation, detail = detail))
    }

    /** Returns lower speeds, starting with the tasks of the largest effect, each as low as the model requires. */
    private fun throttled(
        host: Host,
        bestEffortRuns: List<PlacedRun>,
        latencyExcesses: Map<String, Double>,
    ): Map<PlacedRun, Int> {
        val percents = bestEffortRuns.associateWithTo(LinkedHashMap()) { it.speedPercent }
        latencyExcesses.forEach { (service, excess) ->
            var remaining = excess
            val effects = percents.mapValues { (placed, percent) -> likelyEffect(host, placed, percent, service) }
            effects.entries.sortedByDescending { it.value }.forEach { (placed, effect) ->
                val keptShare = if (remaining <= 0) 1.0 else (1.0 - remaining / effect).coerceAtLeast(0.0)
                remaining -= effect * (1.0 - keptShare)
                percents[placed] = (percents.getValue(placed) * keptShare).toInt().coerceAtLeast(SPEED_PERCENT_MINIMUM)
            }
        }
        return percents
    }

    /** Returns higher speeds, starting with the tasks of the smallest effect. */
    private fun accelerated(
        host: Host,
        bestEffortRuns: List<PlacedRun>,
        latencyExcesses: Map<String, Double>,
    ): Map<PlacedRun, Int> {
        val headroom = latencyExcesses.mapValuesTo(LinkedHashMap()) { (_, excess) -> -excess * HEADROOM_USED_SHARE }
        return bestEffortRuns
            .filter { it.speedPercent < PlacedRun.FULL_SPEED_PERCENT }
            .sortedBy { state.interference.worstEffect(host, it.image, it.task.step.demand.milliCores) }
            .associateWith { placed ->
                val effects = headroom.mapValues { (service, _) -> likelyEffect(host, placed, 1, service) }
                val allowed = effects.minOfOrNull { (service, effect) -> (headroom.getValue(service) / effect).toInt() }
                val withheld = PlacedRun.FULL_SPEED_PERCENT - placed.speedPercent
                val gain = (allowed ?: withheld).coerceIn(0, withheld)
                effects.forEach { (service, effect) -> headroom.merge(service, -gain * effect, Double::plus) }
                placed.speedPercent + gain
            }
    }

    /** Upper estimate of the effect of [placed] at a speed of [percent] on the serving tasks of image [service]. */
    private fun likelyEffect(
        host: Host,
        placed: PlacedRun,
        percent: Int,
        service: String,
    ): Double {
        val milliCores = placed.task.step.demand.milliCores
        val effect = state.interference.likelyEffect(host, placed.image, milliCores, service)
        return effect.coerceAtLeast(EFFECT_MINIMUM) * percent / PlacedRun.FULL_SPEED_PERCENT
    }

    private fun throttle(
        host: Host,
        placed: PlacedRun,
        percent: Int,
    ) {
        placed.speedPercent = percent
        state.effects.immediately(SchedulerEffect.Throttle(host.incarnation, placed.run, percent))
    }

    private companion object {
        private const val PERCENT = 100

        /** A measurement covers half a second, and a change of speed takes effect within a tenth of a second. */
        private const val SETTLING_MILLIS = 650L

        /** With less headroom an acceleration would soon be reverted. */
        private const val HEADROOM_MINIMUM = 0.15

        /** Share of the headroom that one acceleration uses, since the load of serving tasks may grow meanwhile. */
        private const val HEADROOM_USED_SHARE = 0.6

        /** Smaller effects can't be distinguished from noise. */
        private const val EFFECT_MINIMUM = 0.01

        /** At this speed a task has no noticeable effect on others and still makes progress. */
        private const val SPEED_PERCENT_MINIMUM = 5
    }
}
