/*
 * Sends events of attempts to the owner of the partition.
 */
package org.greengagepass.agent.process

import org.greengagepass.agent.connection.EntryConnection
import org.greengagepass.agent.connection.EntryConnections
import org.greengagepass.protocol.connection.AgentMessage.TaskEvent

/** Sends [events] to the owners among [connections]. */
internal class OwnerReporter(
    private val connections: EntryConnections,
    private val events: TaskEvents,
) {
    /** Sends new events to the owners and returns those sent. Events stay queued while no owner is connected. */
    fun sendUnsent(): List<TaskEvent> {
        val owners = connections.owners
        if (owners.isEmpty()) return emptyList()
        val unsent = events.takeUnsent()
        owners.forEach { owner -> unsent.forEach { owner.send(it) } }
        return unsent
    }

    /** Resends ends of attempts that are not yet recorded. Called every second. */
    fun repeatEnds() {
        connections.owners.forEach { owner -> events.unrecordedEnds().forEach { owner.send(it) } }
    }

    /** Sends all events to a new [owner]. */
    fun sendAll(owner: EntryConnection) {
        events.all().forEach { owner.send(it) }
    }
}
