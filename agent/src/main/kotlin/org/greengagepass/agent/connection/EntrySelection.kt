/*
 * Selects the entries that an agent keeps connections to: the owner of its partition and a few others. Rendezvous
 * hashing spreads agents over entries and changes few connections when an entry is added or removed.
 */
package org.greengagepass.agent.connection

import org.greengagepass.core.HostId
import java.util.zip.CRC32
import kotlin.random.Random

/** Selects entries for [host] from the [configured] ones and those that entries report. */
internal class EntrySelection(
    private val host: HostId,
    private val configured: List<String>,
) {
    private var discovered: List<String> = emptyList()
    private val owners = LinkedHashMap<String, String>()

    /** Records that entry [source] reports the entries at [addresses] and [owner] as the owner of the partition. */
    fun update(
        source: String,
        addresses: List<String>,
        owner: String?,
    ) {
        if (addresses.isNotEmpty()) discovered = addresses
        if (owner == null) owners.remove(source) else owners[source] = owner
    }

    /** Discards the owner that [source] reported, since the connection to it has ended. */
    fun onDisconnected(source: String) {
        owners.remove(source)
    }

    /** Returns true if the entry at [address] reports itself as the owner of the partition. */
    fun isOwner(address: String): Boolean = owners[address] == address

    /** Returns the addresses to keep connections to. */
    fun targets(): Set<String> {
        val others = (configured + discovered).distinct().sortedByDescending(::weight)
        return owners.values.toSet() + others.filterNot { it in owners.values }.take(OTHERS_MAXIMUM)
    }

    private fun weight(address: String): Long {
        val checksum = CRC32()
        checksum.update("$address|${host.value}".toByteArray())
        return Random(checksum.value).nextLong()
    }

    companion object {
        /** Connections besides the owner's. Each costs about 60 B/s in heartbeats. */
        const val OTHERS_MAXIMUM: Int = 3
    }
}
