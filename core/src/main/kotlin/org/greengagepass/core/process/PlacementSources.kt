/*
 * What placement has to know of the configuration, of services and of other partitions.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota

/** Read access to what placement does not decide itself. */
public interface PlacementSources {
    /** The profile with [name], or null if it was withdrawn. */
    public fun profileOf(name: ProfileName): Profile?

    /** The quota of [team], or null if it has none. */
    public fun quotaOf(team: TeamName): Quota?

    /** Latency-critical kinds that upstreams on [host] serve. */
    public fun servicesOn(host: HostId): Collection<WorkKind> = emptyList()

    /** What [team] runs on hosts that the round does not list: silent or draining ones, and other partitions. */
    public fun runningElsewhere(team: TeamName): Resources = Resources.NONE
}

/** What placement has learnt and shares with the rest of the scheduler. */
public class PlacementModels(
    public val sizes: SizeEstimator = SizeEstimator(),
    public val health: WorkerHealth = WorkerHealth(),
    public val interference: InterferenceModel = InterferenceModel(),
    public val colocation: ColocationController = ColocationController(interference),
)
