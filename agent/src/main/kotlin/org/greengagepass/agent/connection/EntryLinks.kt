/*
 * The connections to all entries that the agent talks to.
 */
package org.greengagepass.agent.connection

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.launch
import org.greengagepass.protocol.connection.AgentMessage

/** Links to the targets of [selection], run in [scope]. */
internal class EntryLinks(
    private val scope: CoroutineScope,
    private val selection: EntrySelection,
    private val open: (String) -> EntryLink,
) {
    private val links = LinkedHashMap<String, RunningLink>()

    /** Links whose entry has welcomed the agent. */
    val welcome: List<EntryLink> get() = links.values.map { it.link }.filter { it.isWelcome }

    /** Links to entries that say they own the partition. */
    val owners: List<EntryLink> get() = welcome.filter { selection.isOwner(it.address) }

    /** Opens missing links and closes those that are no longer wanted. */
    fun adjust() {
        val targets = selection.targets()
        links.keys.filterNot { it in targets }.forEach { address -> links.remove(address)?.job?.cancel() }
        targets.filterNot { it in links }.forEach { address ->
            val link = open(address)
            links[address] = RunningLink(link, scope.launch { link.run() })
        }
    }

    /** Entry [teller] knows [addresses] and names [owner]. */
    fun learn(
        teller: String,
        addresses: List<String>,
        owner: String?,
    ) {
        selection.learn(teller, addresses, owner)
        adjust()
    }

    /** The connection to [address] is gone. */
    fun lost(address: String) {
        selection.lost(address)
    }

    /** Sends [message] to the entry at [address]; false if there is no connection. */
    fun send(
        address: String,
        message: AgentMessage,
    ): Boolean = links[address]?.link?.send(message) ?: false

    /** Says goodbye on all links and closes them. */
    fun closeAll() {
        links.values.forEach {
            it.link.send(AgentMessage.Goodbye)
            it.link.closeAfterQueued()
        }
    }
}

private class RunningLink(
    val link: EntryLink,
    val job: Job,
)
