/*
 * The agents' connections by incarnation of a host. A newer connection replaces an older one.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** A connection as the scheduler uses it. */
internal typealias SchedulerSession = FramedConnection<FromScheduler, ToScheduler>

/** Connections by incarnation of a host. */
internal class HostSessions {
    private val sessions = HashMap<HostIncarnation, SchedulerSession>()

    /** Sends [message] to [incarnation] if it is connected. */
    fun send(
        incarnation: HostIncarnation,
        message: FromScheduler,
    ): Boolean = sessions[incarnation]?.send(message) ?: false

    /** Makes [session] the connection of [incarnation] and closes an earlier one. */
    fun attach(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ) {
        sessions.put(incarnation, session)?.takeIf { it !== session }?.close()
    }

    /** True if [session] is the current connection of [incarnation]. */
    fun isAttached(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ): Boolean = sessions[incarnation] === session

    /** Removes [session]. Returns the incarnations whose current connection it was. */
    fun detach(session: SchedulerSession): List<HostIncarnation> {
        val incarnations = sessions.filterValues { it === session }.keys.toList()
        sessions.keys.removeAll(incarnations.toSet())
        return incarnations
    }

    fun closeAll() {
        sessions.values.toSet().forEach { it.close() }
        sessions.clear()
    }
}
