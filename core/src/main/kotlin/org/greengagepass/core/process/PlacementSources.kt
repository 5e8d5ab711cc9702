/*
 * Inputs of placement from the configuration, the services and other partitions.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota

/** Read access to the data that placement depends on. */
public interface PlacementSources {
    /** The profile with [name], or null if it was withdrawn. */
    public fun profileOf(name: ProfileName): Profile?

    /** The quota of [team], or null if it has none. */
    public fun quotaOf(team: TeamName): Quota?

    /** Latency-critical kinds that the upstreams on [host] serve. */
    public fun servicesOn(host: HostId): Collection<WorkKind> = emptyList()

    /** Resources that [team] uses outside the round: on silent or draining hosts, and in other partitions. */
    public fun runningElsewhere(team: TeamName): Resources = Resources.NONE
}

/** Models that placement shares with the rest of the scheduler. */
public class PlacementModels(
    public val sizes: SizeEstimator = SizeEstimator(),
    public val health: WorkerHealth = WorkerHealth(),
    public val interference: InterferenceModel = InterferenceModel(),
    public val colocation: ColocationController = ColocationController(interference),
)
