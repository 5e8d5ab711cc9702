/*
 * Sends events of attempts to the owner of the partition.
 */
package org.greengagepass.agent.process

import org.greengagepass.agent.connection.EntryLink
import org.greengagepass.agent.connection.EntryLinks
import org.greengagepass.protocol.connection.AgentMessage.TaskEvent

/** Sends what [events] holds to the owners among [links]. */
internal class OwnerReporter(
    private val links: EntryLinks,
    private val events: TaskEvents,
) {
    /** Sends events that no owner has been sent, and gives them; they wait while there is none. */
    fun sendUnsent(): List<TaskEvent> {
        val owners = links.owners
        if (owners.isEmpty()) return emptyList()
        val unsent = events.takeUnsent()
        owners.forEach { owner -> unsent.forEach { owner.send(it) } }
        return unsent
    }

    /** Sends ends again that are not recorded. To be called every second. */
    fun repeatEnds() {
        links.owners.forEach { owner -> events.repeated().forEach { owner.send(it) } }
    }

    /** Sends everything to a new [owner]. */
    fun sendAll(owner: EntryLink) {
        events.all().forEach { owner.send(it) }
    }
}
