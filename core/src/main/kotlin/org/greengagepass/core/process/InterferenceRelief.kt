/*
 * What the interference model says about the tasks of a host: who is suspected, and how far a task has to be
 * throttled for the services to stay within their objectives.
 */
package org.greengagepass.core.process

import kotlin.math.ln

internal const val FULL_PERMILLE = 1_000

/** Answers questions about one observation at a time. */
internal class InterferenceRelief(
    private val model: InterferenceModel,
) {
    /** Teaches the model what [observation] shows. */
    fun learn(observation: HostObservation) {
        val shares =
            observation.tasks
                .groupBy { it.kind }
                .mapValues { (_, tasks) -> tasks.sumOf { it.coreShare } }
        observation.services.forEach { service ->
            model.learn(
                SlowdownSample(
                    service = service.service,
                    latencyMillis = service.latencyMillis,
                    utilization = service.utilization,
                    coreShares = shares,
                    measuredAt = observation.windowEnd,
                ),
            )
        }
    }

    /** [observation] with latencies averaged over a few windows, as decisions on starts need them. */
    fun smoothed(
        observation: HostObservation,
        before: HostObservation?,
    ): HostObservation {
        val earlier = before?.services.orEmpty().associateBy { it.service }
        val services =
            observation.services.map { service ->
                val known = earlier[service.service]?.latencyMillis ?: service.latencyMillis
                service.copy(latencyMillis = known + (service.latencyMillis - known) * NEW_WINDOW_WEIGHT)
            }
        return observation.copy(services = services)
    }

    /** Tasks that may cause a slowdown worth acting on, the worst first. */
    fun suspects(observation: HostObservation): List<ColocatedTask> {
        val suspicions = observation.tasks.associateWith { suspicion(it, observation) }
        val threshold = maxOf(SUSPICION_MINIMUM, (suspicions.values.maxOrNull() ?: 0.0) * SUSPICION_PART)
        return suspicions.entries
            .filter { it.value >= threshold }
            .sortedByDescending { it.value }
            .map { it.key }
    }

    /** What [task] may use of its limit so that its part of the excess goes; the default if that is not known. */
    fun permille(
        task: ColocatedTask,
        observation: HostObservation,
    ): Int =
        observation.services.minOf { service ->
            val slope = certainSlope(service, task)
            val excess = ln(service.latencyMillis / (service.objectiveMillis * AIM_FRACTION))
            if (slope == null || task.coreShare <= 0.0) {
                ColocationController.THROTTLE_PERMILLE
            } else {
                scaled((task.coreShare - excess / slope) / task.coreShare)
            }
        }

    /** Logarithm of the slowdown that is expected from [task]. */
    fun expectedSlowdown(
        task: ColocatedTask,
        observation: HostObservation,
    ): Double =
        observation.services.maxOfOrNull { ln(model.slowdown(it.service, task.kind, task.coreShare).ratio) } ?: 0.0

    /**
     * What [task], which is about to start, may use of its limit. Full use unless the model is sure. [started] is the
     * logarithm of the slowdown by tasks that the observation does not contain yet.
     */
    fun startingPermille(
        task: ColocatedTask,
        observation: HostObservation,
        started: Double,
    ): Int =
        observation.services.minOfOrNull { service ->
            val slope = certainSlope(service, task)
            val room = ln(service.objectiveMillis * AIM_FRACTION / service.latencyMillis) - started
            if (slope == null || slope * task.coreShare <= room) {
                FULL_PERMILLE
            } else {
                scaled(room / slope / task.coreShare)
            }
        } ?: FULL_PERMILLE

    /** What [task], which uses [current] thousandths, may use with the objectives kept by the model's mean. */
    fun permittedPermille(
        task: ColocatedTask,
        current: Int,
        observation: HostObservation,
    ): Int =
        observation.services.minOfOrNull { service ->
            val slope = ln(model.slowdown(service.service, task.kind, coreShare = 1.0).ratio)
            val room = ln(service.objectiveMillis * AIM_FRACTION / service.latencyMillis)
            val fullShare = task.coreShare * FULL_PERMILLE / current
            if (slope * (fullShare - task.coreShare) <= room) {
                FULL_PERMILLE
            } else {
                scaled((task.coreShare + room / slope) / fullShare)
            }
        } ?: FULL_PERMILLE

    /** Logarithm of the slowdown that [task] may cause, including one standard deviation of what is not known. */
    private fun suspicion(
        task: ColocatedTask,
        observation: HostObservation,
    ): Double =
        observation.services.maxOfOrNull {
            val slowdown = model.slowdown(it.service, task.kind, task.coreShare)
            ln(slowdown.ratio) + slowdown.uncertainty
        } ?: 0.0

    /** Logarithm of the slowdown at full use of the host; null while it is less than two standard deviations. */
    private fun certainSlope(
        service: ServiceObservation,
        task: ColocatedTask,
    ): Double? {
        val slowdown = model.slowdown(service.service, task.kind, coreShare = 1.0)
        return ln(slowdown.ratio).takeIf { it > 2 * slowdown.uncertainty }
    }

    private fun scaled(part: Double): Int = (part * FULL_PERMILLE).toInt().coerceIn(PERMILLE_MINIMUM, FULL_PERMILLE)
}

/** Logarithm of a slowdown of about 2%, below which removing the task would not be noticed. */
private const val SUSPICION_MINIMUM = 0.02

/** A single window is often an outlier, which would throttle tasks that do no harm. */
private const val NEW_WINDOW_WEIGHT = 0.3

/** Part of the worst suspicion below which a task is no suspect: acting on it would cost work and change little. */
private const val SUSPICION_PART = 0.25

/** Throttles aim below the objective, between it and the release fraction. */
private const val AIM_FRACTION = 0.95
private const val PERMILLE_MINIMUM = 100
