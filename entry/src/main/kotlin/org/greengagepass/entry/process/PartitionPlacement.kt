/*
 * Placement for the partition that this entry owns: the policy, what it learns from agents, and what it has to know
 * of the configuration and of the services on each host.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.AttemptChange
import org.greengagepass.core.process.AttemptObserver
import org.greengagepass.core.process.AttemptUsage
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.PlacementSources
import org.greengagepass.core.process.TaskPlacement
import org.greengagepass.core.process.WaitReason
import org.greengagepass.core.process.WorkerAvailability
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota
import org.greengagepass.entry.version.ConfigurationService
import org.greengagepass.protocol.connection.AgentMessage

/** Places tasks with the profiles and quotas of [configuration]. */
public class PartitionPlacement(
    private val configuration: ConfigurationService,
    private val clock: MonotonicClock,
) : PlacementSources {
    private val servicesByHost = HashMap<HostId, List<WorkKind>>()
    private val learning: AttemptObserver

    /** Hosts that fail what they start, sizes, and interference, as learnt so far. */
    public val models: PlacementModels = PlacementModels()

    /** The policy that the owner asks. */
    public val policy: TaskPlacement

    init {
        learning = AttemptObserver(models)
        policy = TaskPlacement(this, models)
    }

    /** Why [taskId], which waits, was not placed in the last round. */
    public fun waitReasonOf(taskId: TaskId): WaitReason = policy.waitReasonOf(taskId)

    /** True if [host] gets no tasks because it failed what it started. */
    public fun isQuarantined(host: HostId): Boolean =
        models.health.availability(host, clock.now()) !is WorkerAvailability.Available

    /** Learns from a heartbeat. */
    public fun onHeartbeat(
        host: HostId,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        servicesByHost[host] = heartbeat.services.map { WorkKind(it.service.value) }
        learning.reported(heartbeat.tasks.map { AttemptUsage(it.token, it.kind, it.usage) }, clock.now())
    }

    /** Learns from an event of an attempt. */
    public fun onEvent(event: OwnerInput.AttemptEvent) {
        learning.changed(event.host, event.taskId, event.token, event.change, clock.now())
        if (event.change is AttemptChange.Finished || event.change is AttemptChange.Stopped) {
            policy.ended(event.taskId)
        }
    }

    override fun profileOf(name: ProfileName): Profile? = configuration.view.profiles[name]?.profile

    override fun quotaOf(team: TeamName): Quota? = configuration.view.quotas[team]?.quota

    override fun servicesOn(host: HostId): Collection<WorkKind> = servicesByHost[host].orEmpty()
}
