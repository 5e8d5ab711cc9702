/*
 * Chooses the entries that an agent keeps connections to: the owner of its partition and a few more. Rendezvous
 * hashing spreads agents over entries and changes few connections when an entry comes or goes.
 */
package org.greengagepass.agent.connection

import org.greengagepass.core.HostId
import java.util.zip.CRC32
import kotlin.random.Random

/** The choice of [host] among [configured] entries and those it learns of. */
internal class EntrySelection(
    private val host: HostId,
    private val configured: List<String>,
) {
    private var learnt: List<String> = emptyList()
    private val owners = LinkedHashMap<String, String>()

    /** Entry [teller] knows [addresses] and takes [owner] for the owner of the host's partition. */
    fun learn(
        teller: String,
        addresses: List<String>,
        owner: String?,
    ) {
        if (addresses.isNotEmpty()) learnt = addresses
        if (owner == null) owners.remove(teller) else owners[teller] = owner
    }

    /** The connection to [teller] is gone, and what it said of the owner no longer counts. */
    fun lost(teller: String) {
        owners.remove(teller)
    }

    /** True if the entry at [address] says that it owns the partition. */
    fun isOwner(address: String): Boolean = owners[address] == address

    /** Addresses to keep connections to. */
    fun targets(): Set<String> {
        val others = (configured + learnt).distinct().sortedByDescending(::weight)
        return owners.values.toSet() + others.filterNot { it in owners.values }.take(OTHERS_MAXIMUM)
    }

    private fun weight(address: String): Long {
        val checksum = CRC32()
        checksum.update("$address|${host.value}".toByteArray())
        return Random(checksum.value).nextLong()
    }

    companion object {
        /** Entries besides the owner. Each costs about 60 B/s in heartbeats. */
        const val OTHERS_MAXIMUM: Int = 3
    }
}
