/*
 * Interface between the owner of a partition and placement, which chooses hosts with free capacity for waiting tasks.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp

/** Chooses hosts for waiting tasks. */
public fun interface PlacementPolicy {
    /**
     * Chooses at most [PlacementRound.maximum] tasks, with a host and a limit for each. A choice that exceeds the free
     * capacity of its host after the earlier choices is dropped.
     */
    public fun place(round: PlacementRound): List<Placement>
}

/** The waiting tasks and the available hosts of one round. */
public class PlacementRound(
    /** Waiting tasks without a queued assignment or failure, longest waiting first. */
    public val waiting: Sequence<Task>,
    /** Hosts that may receive tasks: with a recent heartbeat, not draining, in failure domains that are in service. */
    public val hosts: List<HostView>,
    /** The moment of the decision, by the entry's clock. */
    public val now: Timestamp,
    /** Maximum number of tasks to place. */
    public val maximum: Int,
)

/** A host according to its last heartbeat and the decisions since then. */
public data class HostView(
    val host: HostId,
    val failureDomain: FailureDomainName,
    val rack: RackName,
    val capacity: Resources,
    /** Capacity that is free after all assignments, including those that the agent does not account for yet. */
    val free: Resources,
    /** Tasks that are assigned to the host or run on it. */
    val tasks: Collection<Task>,
)

/** Assignment of [taskId] to [host] with the enforced [limit]. */
public data class Placement(
    val taskId: TaskId,
    val host: HostId,
    val limit: Resources,
)
