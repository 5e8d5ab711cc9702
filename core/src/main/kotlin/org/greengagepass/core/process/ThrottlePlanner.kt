/*
 * Evaluates the interference model for the tasks of a host: which tasks are suspects, and how far a task has to be
 * throttled for the services to stay within their objectives.
 */
package org.greengagepass.core.process

import kotlin.math.ln

internal const val FULL_PERMILLE = 1_000

/** Derives suspects and throttles from one observation. */
internal class ThrottlePlanner(
    private val model: InterferenceModel,
) {
    /** Updates the model with [observation]. */
    fun train(observation: HostObservation) {
        val shares =
            observation.tasks
                .groupBy { it.kind }
                .mapValues { (_, tasks) -> tasks.sumOf { it.coreShare } }
        observation.services.forEach { service ->
            model.train(
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

    /** Returns [observation] with latencies smoothed over a few windows, for decisions on starts. */
    fun smoothed(
        observation: HostObservation,
        previous: HostObservation?,
    ): HostObservation {
        val previousServices = previous?.services.orEmpty().associateBy { it.service }
        val services =
            observation.services.map { service ->
                val previousMillis = previousServices[service.service]?.latencyMillis ?: service.latencyMillis
                service.copy(
                    latencyMillis =
                        previousMillis + (service.latencyMillis - previousMillis) * NEW_WINDOW_WEIGHT,
                )
            }
        return observation.copy(services = services)
    }

    /** Tasks that may cause a slowdown worth acting on, the largest slowdown first. */
    fun suspects(observation: HostObservation): List<ColocatedTask> {
        val slowdowns = observation.tasks.associateWith { possibleSlowdown(it, observation) }
        val threshold = maxOf(SLOWDOWN_MINIMUM, (slowdowns.values.maxOrNull() ?: 0.0) * SUSPECT_FRACTION)
        return slowdowns.entries
            .filter { it.value >= threshold }
            .sortedByDescending { it.value }
            .map { it.key }
    }

    /** Share of its limit at which [task] no longer causes the excess; the default without a significant estimate. */
    fun throttlePermille(
        task: ColocatedTask,
        observation: HostObservation,
    ): Int =
        observation.services.minOf { service ->
            val slope = significantSlope(service, task)
            val excess = ln(service.latencyMillis / (service.objectiveMillis * TARGET_FRACTION))
            if (slope == null || task.coreShare <= 0.0) {
                ColocationController.THROTTLE_PERMILLE
            } else {
                toPermille((task.coreShare - excess / slope) / task.coreShare)
            }
        }

    /** Logarithm of the slowdown expected of [task]. */
    fun expectedSlowdown(
        task: ColocatedTask,
        observation: HostObservation,
    ): Double =
        observation.services.maxOfOrNull { ln(model.slowdown(it.service, task.kind, task.coreShare).ratio) } ?: 0.0

    /**
     * Share of its limit that [task], which is about to start, may use; all of it unless the estimate is significant.
     * [pendingSlowdown] is the logarithm of the slowdown by tasks that the observation does not contain yet.
     */
    fun startingPermille(
        task: ColocatedTask,
        observation: HostObservation,
        pendingSlowdown: Double,
    ): Int =
        observation.services.minOfOrNull { service ->
            val slope = significantSlope(service, task)
            val headroom = ln(service.objectiveMillis * TARGET_FRACTION / service.latencyMillis) - pendingSlowdown
            if (slope == null || slope * task.coreShare <= headroom) {
                FULL_PERMILLE
            } else {
                toPermille(headroom / slope / task.coreShare)
            }
        } ?: FULL_PERMILLE

    /** Share of its limit, now [current] thousandths, with which [task] keeps the objectives by the model's mean. */
    fun permittedPermille(
        task: ColocatedTask,
        current: Int,
        observation: HostObservation,
    ): Int =
        observation.services.minOfOrNull { service ->
            val slope = ln(model.slowdown(service.service, task.kind, coreShare = 1.0).ratio)
            val headroom = ln(service.objectiveMillis * TARGET_FRACTION / service.latencyMillis)
            val fullShare = task.coreShare * FULL_PERMILLE / current
            if (slope * (fullShare - task.coreShare) <= headroom) {
                FULL_PERMILLE
            } else {
                toPermille((task.coreShare + headroom / slope) / fullShare)
            }
        } ?: FULL_PERMILLE

    /** Logarithm of the slowdown that [task] may cause: the estimate plus one standard deviation. */
    private fun possibleSlowdown(
        task: ColocatedTask,
        observation: HostObservation,
    ): Double =
        observation.services.maxOfOrNull {
            val slowdown = model.slowdown(it.service, task.kind, task.coreShare)
            ln(slowdown.ratio) + slowdown.uncertainty
        } ?: 0.0

    /** Logarithm of the slowdown at full use of the host; null while it is less than two standard deviations. */
    private fun significantSlope(
        service: ServiceObservation,
        task: ColocatedTask,
    ): Double? {
        val slowdown = model.slowdown(service.service, task.kind, coreShare = 1.0)
        return ln(slowdown.ratio).takeIf { it > 2 * slowdown.uncertainty }
    }

    private fun toPermille(part: Double): Int = (part * FULL_PERMILLE).toInt().coerceIn(PERMILLE_MINIMUM, FULL_PERMILLE)
}

/** Logarithm of a slowdown of about 2%; removing a task that causes less has no noticeable effect. */
private const val SLOWDOWN_MINIMUM = 0.02

/** A single window is often an outlier; a larger weight would throttle tasks that cause no slowdown. */
private const val NEW_WINDOW_WEIGHT = 0.3

/** Fraction of the largest slowdown below which a task is no suspect: acting on it loses work for little effect. */
private const val SUSPECT_FRACTION = 0.25

/** Throttles target a latency between the release fraction and the objective. */
private const val TARGET_FRACTION = 0.95
private const val PERMILLE_MINIMUM = 100
