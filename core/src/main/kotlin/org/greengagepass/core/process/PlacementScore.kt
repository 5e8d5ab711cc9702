/*
 * Scores hosts with enough capacity for a task. Expected interference has the largest weight, then how tightly the task
 * fits; tasks of a kind are spread over racks.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.WorkKind
import kotlin.math.exp
import kotlin.math.ln

/** Computes scores of hosts; the lowest is the best. */
internal class PlacementScore(
    private val sources: PlacementSources,
    private val models: PlacementModels,
) {
    /** Score of [host] for a task of [kind] with [limit]. */
    fun of(
        host: HostState,
        kind: WorkKind,
        limit: Resources,
        rackShare: Double,
    ): Double {
        val pressure = if (models.colocation.isUnderPressure(host.id)) PRESSURE_WEIGHT else 0.0
        val failurePenalty = models.health.consecutiveFailures(host.id).coerceAtMost(FAILURES_MAXIMUM) * FAILURE_WEIGHT
        return INTERFERENCE_WEIGHT * interference(host, kind, limit) +
            pressure +
            failurePenalty +
            FIT_WEIGHT * dominantShare(host.free - limit, host.capacity) +
            RACK_WEIGHT * rackShare
    }

    /** Expected slowdown, minus one, of the most affected service on the host once the task runs there. */
    private fun interference(
        host: HostState,
        kind: WorkKind,
        limit: Resources,
    ): Double {
        val used = models.sizes.usageOf(kind)?.milliCores ?: limit.milliCores
        val cores = host.capacity.milliCores.coerceAtLeast(1)
        val shares = host.coreShares + (kind to (host.coreShares[kind] ?: 0.0) + used.toDouble() / cores)
        val worst =
            sources.servicesOn(host.id).maxOfOrNull { service ->
                shares.entries.sumOf { (other, share) ->
                    ln(models.interference.slowdown(service, other, share).ratio)
                }
            }
        return exp(worst ?: 0.0) - 1.0
    }
}

private const val INTERFERENCE_WEIGHT = 4.0
private const val PRESSURE_WEIGHT = 2.0
private const val FAILURE_WEIGHT = 1.0
private const val FAILURES_MAXIMUM = 3
private const val FIT_WEIGHT = 0.5
private const val RACK_WEIGHT = 0.5
