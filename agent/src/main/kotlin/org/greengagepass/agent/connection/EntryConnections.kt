/*
 * Connections to all entries that the agent communicates with.
 */
package org.greengagepass.agent.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.greengagepass.protocol.connection.AgentMessage

/** Connections to the targets of [selection], run in [scope]. */
internal class EntryConnections(
    private val scope: CoroutineScope,
    private val selection: EntrySelection,
    private val create: (String) -> EntryConnection,
) {
    private val connections = LinkedHashMap<String, RunningConnection>()

    /** Connections whose entry has sent its welcome. */
    val welcomed: List<EntryConnection> get() = connections.values.map { it.connection }.filter { it.isWelcomed }

    /** Connections to entries that claim ownership of the partition. */
    val owners: List<EntryConnection> get() = welcomed.filter { selection.isOwner(it.address) }

    /** Opens missing connections and closes those to entries that are no longer targets. */
    fun reconcile() {
        val targets = selection.targets()
        connections.keys.filterNot { it in targets }.forEach { address -> connections.remove(address)?.job?.cancel() }
        targets.filterNot { it in connections }.forEach { address ->
            val connection = create(address)
            connections[address] = RunningConnection(connection, scope.launch { connection.run() })
        }
    }

    /** Updates the targets: entry [source] reports the entries at [addresses] and the partition's [owner]. */
    fun update(
        source: String,
        addresses: List<String>,
        owner: String?,
    ) {
        selection.update(source, addresses, owner)
        reconcile()
    }

    /** Handles the end of the connection to [address]. */
    fun onDisconnected(address: String) {
        selection.onDisconnected(address)
    }

    /** Sends [message] to the entry at [address]. Returns false if there is no connection. */
    fun send(
        address: String,
        message: AgentMessage,
    ): Boolean = connections[address]?.connection?.send(message) ?: false

    /** Sends a goodbye on all connections and closes them. */
    fun closeAll() {
        connections.values.forEach {
            it.connection.send(AgentMessage.Goodbye)
            it.connection.closeAfterQueued()
        }
    }
}

private class RunningConnection(
    val connection: EntryConnection,
    val job: Job,
)
