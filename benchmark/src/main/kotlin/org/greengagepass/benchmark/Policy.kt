/*
 * The compared policies. All use the limits of the same size estimator. They differ in the choice of hosts and in
 * whether colocation is controlled.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.HostView
import org.greengagepass.core.process.LimitDecision
import org.greengagepass.core.process.Placement
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.PlacementPolicy
import org.greengagepass.core.process.PlacementRound
import org.greengagepass.core.process.PlacementSources
import org.greengagepass.core.process.SizeEstimator
import org.greengagepass.core.process.TaskPlacement
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota
import org.greengagepass.core.version.ServiceClass
import kotlin.random.Random

/** A compared policy. */
public enum class Policy {
    /** Placement and colocation control of the core. */
    GREENGAGEPASS,

    /** Placement of the core without colocation control. */
    NO_CONTROL,

    /** Placement on the host with the most free cores, without colocation control. */
    LEAST_LOADED,

    /** Placement on a random host with enough free capacity, without colocation control. */
    RANDOM,
    ;

    /** True if colocation is controlled. */
    public val controlsColocation: Boolean
        get() = this == GREENGAGEPASS

    /** Returns the placement of this policy. */
    public fun placement(
        deployment: Deployment,
        models: PlacementModels,
        seed: Long,
    ): PlacementPolicy =
        when (this) {
            GREENGAGEPASS, NO_CONTROL -> TaskPlacement(DeploymentSources(deployment), models, seed)
            LEAST_LOADED -> SimplePlacement(models.sizes) { hosts -> hosts.maxByOrNull { it.free.milliCores } }
            RANDOM -> Random(seed).let { random -> SimplePlacement(models.sizes) { it.randomOrNull(random) } }
        }
}

private class DeploymentSources(
    private val deployment: Deployment,
) : PlacementSources {
    override fun profileOf(name: ProfileName): Profile {
        val isBatch = name.value == SimulatedTask.BATCH_PROFILE
        val serviceClass = if (isBatch) ServiceClass.BATCH else ServiceClass.STANDING
        return Profile(name, serviceClass, evictable = isBatch, throttleable = isBatch)
    }

    override fun quotaOf(team: TeamName): Quota? = null

    override fun servicesOn(host: HostId): Collection<WorkKind> = listOf(WorkKind(deployment.quickOperation))
}

/** Places tasks in the order of arrival, each on the host that [choose] selects from those with enough capacity. */
private class SimplePlacement(
    private val sizes: SizeEstimator,
    private val choose: (List<HostView>) -> HostView?,
) : PlacementPolicy {
    override fun place(round: PlacementRound): List<Placement> {
        val hosts = round.hosts.toMutableList()
        val largest = hosts.fold(Resources.NONE) { sum, host -> if (sum.fitsIn(usable(host))) usable(host) else sum }
        return round.waiting.take(round.maximum).toList().mapNotNull { task ->
            val specification = task.specification
            val decision =
                sizes.limitFor(specification.kind, specification.declared, task.failures.exceededLimit, largest)
            val limit = (decision as? LimitDecision.Limit)?.limit
            val host = limit?.let { need -> choose(hosts.filter { need.fitsIn(it.free) }) }
            if (limit == null || host == null) {
                null
            } else {
                hosts[hosts.indexOf(host)] = host.copy(free = host.free - limit)
                Placement(task.id, host.host, limit)
            }
        }
    }

    private fun usable(host: HostView): Resources =
        host.tasks.fold(host.free) { sum, task -> sum + (task.state.attempt?.limit ?: Resources.NONE) }
}
