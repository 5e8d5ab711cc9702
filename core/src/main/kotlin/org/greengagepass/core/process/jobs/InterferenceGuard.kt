/*
 * Keeps serving tasks within their latency bounds: of the tasks that use spare processor time beside them, those
 * that slow them most are slowed as far as needed, and sped up again as far as there is room. Measurements lag, so a
 * change is followed by a pause before the next one.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Paces tasks on the hosts of [state]. */
internal class InterferenceGuard(
    private val state: SchedulerState,
) {
    private val changedAt = HashMap<HostIncarnation, Timestamp>()

    /** Looks at every host that has both kinds of tasks. */
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
        val fillers = host.spareUsers().filter { it.isConfirmed }
        val sinceChange = changedAt[host.incarnation]?.let { now.millisSince(it) } ?: Long.MAX_VALUE
        if (fillers.isEmpty() || sinceChange < PAUSE_MILLIS) return
        val excesses = state.interference.excesses(host)
        val worst = excesses.values.maxOrNull() ?: -1.0
        val paces =
            when {
                worst > 0 -> slowed(host, fillers, excesses.filterValues { it > 0 })
                worst < -ROOM_MINIMUM -> spedUp(host, fillers, excesses)
                else -> emptyMap()
            }.filter { (held, percent) -> held.speedPercent != percent }
        if (paces.isEmpty()) return
        changedAt[host.incarnation] = now
        paces.forEach { (held, percent) -> throttle(host, held, percent) }
        val detail = "excess ${(worst * PERCENT).toInt()}%, percents ${paces.values.joinToString()}"
        state.outbox.note(Decision("paced", host = host.incarnation, detail = detail))
    }

    /** Slows the tasks that are most to blame first, each as far as the model says is needed. */
    private fun slowed(
        host: Host,
        fillers: List<HeldRun>,
        excesses: Map<String, Double>,
    ): Map<HeldRun, Int> {
        val percents = fillers.associateWithTo(LinkedHashMap()) { it.speedPercent }
        excesses.forEach { (service, excess) ->
            var left = excess
            val blame = percents.mapValues { (held, percent) -> likelyEffect(host, held, percent, service) }
            blame.entries.sortedByDescending { it.value }.forEach { (held, effect) ->
                val kept = if (left <= 0) 1.0 else (1.0 - left / effect).coerceAtLeast(0.0)
                left -= effect * (1.0 - kept)
                percents[held] = (percents.getValue(held) * kept).toInt().coerceAtLeast(PACE_PERCENT_MINIMUM)
            }
        }
        return percents
    }

    /** Speeds the least harmful tasks up first. */
    private fun spedUp(
        host: Host,
        fillers: List<HeldRun>,
        excesses: Map<String, Double>,
    ): Map<HeldRun, Int> {
        val rooms = excesses.mapValuesTo(LinkedHashMap()) { (_, excess) -> -excess * ROOM_USED }
        return fillers
            .filter { it.speedPercent < HeldRun.FULL_SPEED_PERCENT }
            .sortedBy { state.interference.worstEffect(host, it.image, it.entry.step.demand.milliCores) }
            .associateWith { held ->
                val effects = rooms.mapValues { (service, _) -> likelyEffect(host, held, 1, service) }
                val most = effects.minOfOrNull { (service, effect) -> (rooms.getValue(service) / effect).toInt() }
                val missing = HeldRun.FULL_SPEED_PERCENT - held.speedPercent
                val gained = (most ?: missing).coerceIn(0, missing)
                effects.forEach { (service, effect) -> rooms.merge(service, -gained * effect, Double::plus) }
                held.speedPercent + gained
            }
    }

    /** Effect of [held] at a pace of [percent] on the serving tasks of image [service]. */
    private fun likelyEffect(
        host: Host,
        held: HeldRun,
        percent: Int,
        service: String,
    ): Double {
        val milliCores = held.entry.step.demand.milliCores
        val effect = state.interference.likelyEffect(host, held.image, milliCores, service)
        return effect.coerceAtLeast(EFFECT_MINIMUM) * percent / HeldRun.FULL_SPEED_PERCENT
    }

    private fun throttle(
        host: Host,
        held: HeldRun,
        percent: Int,
    ) {
        held.speedPercent = percent
        state.outbox.now(SchedulerEffect.Throttle(host.incarnation, held.run, percent))
    }

    private companion object {
        private const val PERCENT = 100

        /** A measurement covers half a second, and a pace takes effect within a tenth. */
        private const val PAUSE_MILLIS = 650L

        /** Below this room a speed-up would soon be taken back. */
        private const val ROOM_MINIMUM = 0.15

        /** Part of the room that one speed-up uses, since the load of the serving tasks may grow meanwhile. */
        private const val ROOM_USED = 0.6

        /** Smaller effects can't be told from noise. */
        private const val EFFECT_MINIMUM = 0.01

        /** Below this a task disturbs nobody noticeably and still ends some day. */
        private const val PACE_PERCENT_MINIMUM = 5
    }
}
