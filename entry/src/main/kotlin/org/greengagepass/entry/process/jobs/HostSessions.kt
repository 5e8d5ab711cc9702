/*
 * The agents' connections by host. The connection on which an agent introduces itself replaces an earlier one of its
 * host, of which nothing counts any more.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostConnections
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** A connection as the scheduler uses it. */
internal typealias SchedulerSession = FramedConnection<FromScheduler, ToScheduler>

/** Connections by host. */
internal class HostSessions {
    private val connections = HostConnections<SchedulerSession>()

    /** Sends [message] to [incarnation]. Returns false if it is not connected or its connection takes no message. */
    fun send(
        incarnation: HostIncarnation,
        message: FromScheduler,
    ): Boolean {
        val current = connections[incarnation.host]?.takeIf { it.incarnation == incarnation } ?: return false
        return current.connection.send(message)
    }

    /**
     * Makes [session] the connection of the host of [incarnation] and closes an earlier one. Returns the incarnation
     * that was connected by that one, if it is another.
     */
    fun attach(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ): HostIncarnation? {
        val replaced = connections.attach(incarnation, session)?.takeIf { it.connection !== session } ?: return null
        replaced.connection.close()
        return replaced.incarnation.takeIf { it != incarnation }
    }

    /** True if [session] is the current connection of a host. */
    fun isCurrent(session: SchedulerSession): Boolean = connections.isCurrent(session)

    /** True if [incarnation] is connected. */
    fun isConnected(incarnation: HostIncarnation): Boolean = connections[incarnation.host]?.incarnation == incarnation

    /** True if [session] is the current connection of [incarnation]. */
    fun isAttached(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ): Boolean =
        connections[incarnation.host]?.run { connection === session && this.incarnation == incarnation } ?: false

    /** Removes [session]. Returns the incarnation whose current connection it was, or null. */
    fun detach(session: SchedulerSession): HostIncarnation? = connections.detach(session)

    fun closeAll() {
        connections.all().forEach { it.connection.close() }
        connections.clear()
    }
}
