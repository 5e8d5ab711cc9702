/*
 * Placement for the partition that this entry owns: the policy, the models that agents' reports update, and what the
 * policy reads of the configuration and of the services on each host.
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
    private val observer: AttemptObserver

    /** Estimates of worker health, sizes of tasks, and interference. */
    public val models: PlacementModels = PlacementModels()

    /** The placement policy that the owner uses. */
    public val policy: TaskPlacement

    init {
        observer = AttemptObserver(models)
        policy = TaskPlacement(this, models)
    }

    /** Why the waiting task [taskId] was not placed in the last round. */
    public fun waitReasonOf(taskId: TaskId): WaitReason = policy.waitReasonOf(taskId)

    /** True if [host] gets no tasks because tasks failed on it. */
    public fun isQuarantined(host: HostId): Boolean =
        models.health.availability(host, clock.now()) !is WorkerAvailability.Available

    /** Updates the models from a heartbeat. */
    public fun onHeartbeat(
        host: HostId,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        servicesByHost[host] = heartbeat.services.map { WorkKind(it.service.value) }
        observer.reported(heartbeat.tasks.map { AttemptUsage(it.token, it.kind, it.usage) }, clock.now())
    }

    /** Updates the models from an event of an attempt. */
    public fun onEvent(event: OwnerInput.AttemptEvent) {
        observer.changed(event.host, event.taskId, event.token, event.change, clock.now())
        if (event.change is AttemptChange.Finished || event.change is AttemptChange.Stopped) {
            policy.ended(event.taskId)
        }
    }

    override fun profileOf(name: ProfileName): Profile? = configuration.view.profiles[name]?.profile

    override fun quotaOf(team: TeamName): Quota? = configuration.view.quotas[team]?.quota

    override fun servicesOn(host: HostId): Collection<WorkKind> = servicesByHost[host].orEmpty()
}
