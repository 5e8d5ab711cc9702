/*
 * What the owner of a partition asks of placement: given tasks that wait and hosts with room, which task goes where.
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
     * Chooses at most [PlacementRound.maximum] tasks and a host and a limit for each. A choice that does not fit in
     * what the host has free after the choices before it is dropped.
     */
    public fun place(round: PlacementRound): List<Placement>
}

/** What can be placed and where. */
public class PlacementRound(
    /** Tasks that wait, longest waiting first; none of them is about to be assigned or cancelled. */
    public val waiting: Sequence<Task>,
    /** Hosts that may receive tasks now: heard of lately, not draining, in domains that are in. */
    public val hosts: List<HostView>,
    /** The moment of the decision, by the entry's clock. */
    public val now: Timestamp,
    /** Most tasks to place. */
    public val maximum: Int,
)

/** A host as its last heartbeat and the decisions since describe it. */
public data class HostView(
    val host: HostId,
    val failureDomain: FailureDomainName,
    val rack: RackName,
    val capacity: Resources,
    /** What is left after tasks that are assigned and not yet counted by the agent. */
    val free: Resources,
    /** Tasks that are assigned to the host or run on it. */
    val tasks: Collection<Task>,
)

/** [taskId] is to run on [host] with the enforced [limit]. */
public data class Placement(
    val taskId: TaskId,
    val host: HostId,
    val limit: Resources,
)
