/*
 * Passes messages from agents to the scheduler, and start commands to agents.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.IncarnationEnd
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** Passes messages between [scheduler] and the agents connected in [sessions]. */
internal class HostMessages(
    private val scheduler: JobScheduler,
    private val sessions: HostSessions,
    private val clock: () -> Moment,
) {
    /**
     * Handles [message] from [session]. Leases are extended only if [mayExtendLease]. After the agent's first message,
     * only the current connection of its host counts.
     */
    fun handle(
        session: SchedulerSession,
        message: ToScheduler,
        mayExtendLease: Boolean,
    ) {
        if (message is ToScheduler.HostHello) return connect(session, message.description)
        if (!sessions.isCurrent(session)) return
        when (message) {
            is ToScheduler.HostDescribed -> describe(session, message.description)
            is ToScheduler.HostGone ->
                scheduler.hosts.incarnationEnded(
                    message.incarnation,
                    IncarnationEnd.DEREGISTERED,
                    clock(),
                )
            is ToScheduler.ExecutorSilent -> silent(session, message.incarnation)
            is ToScheduler.Report -> report(session, message.report, mayExtendLease)
            is ToScheduler.StartAnswered -> scheduler.hosts.startAnswered(message.result, clock())
            is ToScheduler.StopAnswered -> scheduler.hosts.stopAnswered(message.result)
            is ToScheduler.HostHello, is ToScheduler.Request, is ToScheduler.EntryHello, ToScheduler.Ping -> Unit
        }
    }

    /**
     * Sends the command in [effect] if its run is still placed on the host. Returns true if it was sent. If the host is
     * not connected, the command is sent again once the host has reconnected.
     */
    fun start(effect: SchedulerEffect.Start): Boolean {
        val host = scheduler.state.hosts[effect.host]?.takeIf { it.isPlaced(effect.command.run) } ?: return false
        return sessions.send(effect.host, FromScheduler.Start(effect.host, effect.command, host.leaseUntilHostClock))
    }

    private fun connect(
        session: SchedulerSession,
        description: HostDescription,
    ) {
        sessions.attach(description.incarnation, session)?.let { scheduler.hosts.disconnected(it) }
        scheduler.hosts.connected(description, clock())
    }

    private fun describe(
        session: SchedulerSession,
        description: HostDescription,
    ) {
        if (sessions.isAttached(description.incarnation, session)) {
            scheduler.hosts.descriptionChanged(description, clock())
        } else {
            connect(session, description)
        }
    }

    private fun silent(
        session: SchedulerSession,
        incarnation: HostIncarnation,
    ) {
        if (sessions.isAttached(incarnation, session)) scheduler.hosts.silent(incarnation, clock())
    }

    private fun report(
        session: SchedulerSession,
        report: HostReport,
        mayExtendLease: Boolean,
    ) {
        if (!sessions.isAttached(report.incarnation, session)) return
        val leaseUntil = scheduler.hosts.reportReceived(report, mayExtendLease, clock()) ?: return
        session.send(FromScheduler.Grant(report.incarnation, leaseUntil))
    }
}
