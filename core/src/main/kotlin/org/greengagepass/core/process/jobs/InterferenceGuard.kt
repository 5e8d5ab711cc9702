/*
 * Slows tasks that use spare processor time beside a serving task whose tail latency is over its bound, and lets
 * them work again when it is well below. Measurements lag, so a change is followed by a pause before the next one.
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
            .filter { it.isConnected }
            .forEach { adjustHost(it, moment.now) }
    }

    private fun adjustHost(
        host: Host,
        now: Timestamp,
    ) {
        val fillers = host.runs.values.filter { it.entry.step.sharing.usesSpareProcessor && it.isConfirmed }
        if (fillers.isEmpty()) return
        val pressure =
            host.runs.values
                .mapNotNull(::pressureOf)
                .maxOrNull() ?: 0.0
        val sinceChange = changedAt[host.incarnation]?.let { now.millisSince(it) } ?: Long.MAX_VALUE
        val current = fillers.minOf { it.pacePercent }
        val next =
            when {
                pressure > PRESSURE_HIGH && sinceChange >= SLOW_DOWN_PAUSE_MILLIS -> current / 2
                pressure < PRESSURE_LOW && sinceChange >= SPEED_UP_PAUSE_MILLIS -> current + SPEED_UP_PERCENT
                else -> current
            }.coerceIn(PACE_PERCENT_MINIMUM, HeldRun.FULL_PACE_PERCENT)
        if (next != current) changedAt[host.incarnation] = now
        val late = fillers.filter { it.pacePercent != next }
        late.forEach { pace(host, it, next) }
        if (late.isNotEmpty()) {
            val share = (pressure * PERCENT).toInt()
            val detail = "${late.size} runs at $next percent, latency at $share percent of its bound"
            state.outbox.note(Decision("paced", host = host.incarnation, detail = detail))
        }
    }

    /** Measured tail latency over its bound; null for runs without a bound or a measurement. */
    private fun pressureOf(held: HeldRun): Double? {
        val target = held.entry.step.sharing.latencyTargetMillis
        val measured = held.lastSeen?.measurement
        return if (target == null || measured == null) null else measured.toDouble() / target.coerceAtLeast(1)
    }

    private fun pace(
        host: Host,
        held: HeldRun,
        percent: Int,
    ) {
        held.pacePercent = percent
        state.outbox.now(SchedulerEffect.Pace(host.incarnation, held.run, percent))
    }

    private companion object {
        private const val PERCENT = 100

        /** Slowing begins shortly below the bound, since the measurement is half a second old. */
        private const val PRESSURE_HIGH = 0.9

        /** Speeding up waits until the latency is well below, so that it does not swing. */
        private const val PRESSURE_LOW = 0.65

        /** A measurement covers half a second; the next decision needs one that was taken after the change. */
        private const val SLOW_DOWN_PAUSE_MILLIS = 700L

        /** Slower than slowing down, because exceeding the bound is worse than unused time. */
        private const val SPEED_UP_PAUSE_MILLIS = 1_000L
        private const val SPEED_UP_PERCENT = 25

        /** Below this a task disturbs nobody noticeably and still ends some day. */
        private const val PACE_PERCENT_MINIMUM = 5
    }
}
