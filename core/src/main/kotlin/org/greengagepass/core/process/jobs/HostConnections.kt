/*
 * The connection that counts for each host: the last one on which its agent has introduced itself. What is still read
 * from an earlier connection is outdated, since the agent has gone on or was replaced.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.HostId

/** A [connection] and the [incarnation] of its host that was last described on it. */
public data class HostConnection<C>(
    val connection: C,
    val incarnation: HostIncarnation,
)

/** Connections of type [C] by host. Connections are compared by identity. */
public class HostConnections<C : Any> {
    private val current = HashMap<HostId, HostConnection<C>>()

    /** The connection of [host], or null. */
    public operator fun get(host: HostId): HostConnection<C>? = current[host]

    /** All connections that count. */
    public fun all(): Collection<HostConnection<C>> = current.values

    /** True if [connection] is the current one of its host. */
    public fun isCurrent(connection: C): Boolean = current.values.any { it.connection === connection }

    /** Makes [connection] the one of the host of [incarnation]. Returns what it replaces. */
    public fun attach(
        incarnation: HostIncarnation,
        connection: C,
    ): HostConnection<C>? = current.put(incarnation.host, HostConnection(connection, incarnation))

    /** Removes [connection]. Returns the incarnation that it was current for, or null. */
    public fun detach(connection: C): HostIncarnation? {
        val incarnation = current.values.firstOrNull { it.connection === connection }?.incarnation
        if (incarnation != null) current.remove(incarnation.host)
        return incarnation
    }

    /** Removes all connections. */
    public fun clear(): Unit = current.clear()
}
