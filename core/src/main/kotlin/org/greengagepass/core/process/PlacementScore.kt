/*
 * Scoring of the hosts that have room for a task. Expected interference weighs most, then how well the task fits,
 * with tasks of a kind spread over racks.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.WorkKind
import kotlin.math.exp
import kotlin.math.ln

/** Scores hosts; the lowest score is the best. */
internal class PlacementScore(
    private val sources: PlacementSources,
    private val models: PlacementModels,
) {
    /** Score of [slot] for a task of [kind] with [limit]. */
    fun of(
        slot: HostSlot,
        kind: WorkKind,
        limit: Resources,
        rackShare: Double,
    ): Double {
        val pressure = if (models.colocation.isUnderPressure(slot.host)) PRESSURE_WEIGHT else 0.0
        val suspicion = models.health.consecutiveFailures(slot.host).coerceAtMost(SUSPICION_MAXIMUM) * SUSPICION_WEIGHT
        return INTERFERENCE_WEIGHT * interference(slot, kind, limit) +
            pressure +
            suspicion +
            FIT_WEIGHT * dominantShare(slot.free - limit, slot.capacity) +
            RACK_WEIGHT * rackShare
    }

    /** Expected slowdown, less one, of the service that suffers most once the task is there. */
    private fun interference(
        slot: HostSlot,
        kind: WorkKind,
        limit: Resources,
    ): Double {
        val used = models.sizes.usageOf(kind)?.milliCores ?: limit.milliCores
        val cores = slot.capacity.milliCores.coerceAtLeast(1)
        val shares = slot.coreShares + (kind to (slot.coreShares[kind] ?: 0.0) + used.toDouble() / cores)
        val worst =
            sources.servicesOn(slot.host).maxOfOrNull { service ->
                shares.entries.sumOf { (neighbour, share) ->
                    ln(models.interference.slowdown(service, neighbour, share).ratio)
                }
            }
        return exp(worst ?: 0.0) - 1.0
    }
}

private const val INTERFERENCE_WEIGHT = 4.0
private const val PRESSURE_WEIGHT = 2.0
private const val SUSPICION_WEIGHT = 1.0
private const val SUSPICION_MAXIMUM = 3
private const val FIT_WEIGHT = 0.5
private const val RACK_WEIGHT = 0.5
