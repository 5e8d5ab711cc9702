/*
 * The arrivals of a run. They depend only on the seed, so that all policies get the same arrivals.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.TaskSpecification
import kotlin.math.PI
import kotlin.math.sin
import kotlin.random.Random

/** A task that arrives at [atMillis] and needs [workCoreMillis] of processor time. */
public class Arrival(
    public val atMillis: Long,
    public val specification: TaskSpecification,
    public val kind: BatchKind,
    public val workCoreMillis: Double,
)

/** Arrivals of tasks, and the load of quick requests over time. */
public class Workload(
    private val deployment: Deployment,
    private val scenario: Scenario,
    private val durationMillis: Long,
    seed: Long,
) {
    private val random = Random(seed)
    private var count = 0

    /** Arrivals of tasks, in chronological order. */
    public val arrivals: List<Arrival> = (standing() + steady() + waves()).sortedBy { it.atMillis }

    /** Returns the part of all slots that quick requests would use at [nowMillis] without interference. */
    public fun quickUtilization(nowMillis: Long): Double {
        val phase = nowMillis.toDouble() / LOAD_PERIOD_MILLIS
        return MEAN_UTILIZATION * (1.0 + LOAD_AMPLITUDE * sin(2.0 * PI * phase))
    }

    private fun standing(): List<Arrival> = List(Deployment.HOSTS) { arrival(0, deployment.standing) }

    private fun steady(): List<Arrival> {
        val factor = if (scenario == Scenario.FAILURE_DOMAIN) SATURATING_LOAD else STEADY_LOAD
        val meanRun = (deployment.steady.shortestRunMillis + deployment.steady.longestRunMillis) / 2.0
        val slots = Deployment.HOSTS.toDouble() * deployment.usable.milliCores / deployment.steady.need.milliCores
        val gapMillis = meanRun / (slots * factor)
        val initial = List((slots * factor).toInt()) { arrival(0, deployment.steady) }
        val later =
            generateSequence(gapMillis) { it + gapMillis }
                .takeWhile { it < durationMillis }
                .map { arrival(it.toLong(), deployment.steady) }
                .toList()
        return initial + later
    }

    private fun waves(): List<Arrival> {
        if (scenario != Scenario.NOISY_WAVES) return emptyList()
        val cores = Deployment.HOSTS * deployment.usable.milliCores
        val size = (cores * WAVE_CORE_SHARE / deployment.noisy.need.milliCores).toInt()
        return (WAVE_PERIOD_MILLIS / 2 until durationMillis step WAVE_PERIOD_MILLIS).flatMap { start ->
            List(size) { arrival(start + random.nextLong(WAVE_LENGTH_MILLIS), deployment.noisy) }
        }
    }

    private fun arrival(
        atMillis: Long,
        kind: BatchKind,
    ): Arrival {
        val factor = DECLARED_FACTORS.random(random)
        val declared =
            Resources(
                milliCores = (kind.need.milliCores * factor).toLong(),
                memoryMegabytes = (kind.need.memoryMegabytes * factor).toLong(),
            )
        val run = random.nextLong(kind.shortestRunMillis, kind.longestRunMillis + 1)
        val team = TeamName("team-${random.nextInt(TEAMS)}")
        val id = TaskId("${kind.name}-${count++}")
        val specification = TaskSpecification(id, team, ProfileName(kind.profile), WorkKind(kind.name), declared)
        return Arrival(atMillis, specification, kind, run.toDouble() * kind.need.milliCores / MILLI)
    }
}

private const val MILLI = 1_000.0
private const val TEAMS = 5
private const val LOAD_PERIOD_MILLIS = 600_000.0
private const val MEAN_UTILIZATION = 0.4
private const val LOAD_AMPLITUDE = 0.25

/** Together with the waves, the load is about 80% of the cores. */
private const val STEADY_LOAD = 0.65
private const val SATURATING_LOAD = 1.5
private const val WAVE_PERIOD_MILLIS = 180_000L
private const val WAVE_LENGTH_MILLIS = 5_000L
private const val WAVE_CORE_SHARE = 0.4

/** Declared sizes are inaccurate: half, exactly, one and a half times or twice the real size. */
private const val FACTOR_STEPS = 4
private const val FACTOR_STEP = 0.5
private val DECLARED_FACTORS = List(FACTOR_STEPS) { (it + 1) * FACTOR_STEP }
