/*
 * The connections to agents: which of them speaks for which life of a host. A newer connection replaces an older one.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** The scheduler's end of a connection. */
internal typealias SchedulerSession = FramedConnection<FromScheduler, ToScheduler>

/** Connections by life of host. */
internal class HostSessions {
    private val sessions = HashMap<HostIncarnation, SchedulerSession>()

    /** Sends [message] to [incarnation] if it is connected. */
    fun send(
        incarnation: HostIncarnation,
        message: FromScheduler,
    ): Boolean = sessions[incarnation]?.send(message) ?: false

    /** [session] speaks for [incarnation] from now on. */
    fun attach(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ) {
        sessions.put(incarnation, session)?.takeIf { it !== session }?.close()
    }

    /** True if [session] is the newest that speaks for [incarnation]. */
    fun isAttached(
        incarnation: HostIncarnation,
        session: SchedulerSession,
    ): Boolean = sessions[incarnation] === session

    /** The lives for which [session] spoke last; it speaks for none from now on. */
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
