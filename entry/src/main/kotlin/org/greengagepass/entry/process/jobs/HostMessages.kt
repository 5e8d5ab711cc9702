/*
 * Passes messages of agents to the scheduler, and orders to agents.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** Handles messages for [scheduler] on the connections in [sessions]. */
internal class HostMessages(
    private val scheduler: JobScheduler,
    private val sessions: HostSessions,
    private val clock: () -> Moment,
) {
    /** Handles [message], which came over [session]; leases are extended only if [mayExtendLease]. */
    fun handle(
        session: SchedulerSession,
        message: ToScheduler,
        mayExtendLease: Boolean,
    ) {
        when (message) {
            is ToScheduler.HostHello -> connect(session, message.description)
            is ToScheduler.HostDescribed -> describe(session, message.description)
            is ToScheduler.HostGone -> scheduler.hosts.gone(message.incarnation, clock())
            is ToScheduler.Report -> report(session, message.report, mayExtendLease)
            is ToScheduler.StartAnswered -> scheduler.hosts.startAnswered(message.result, clock())
            is ToScheduler.StopAnswered -> scheduler.hosts.stopAnswered(message.result)
            is ToScheduler.Request, is ToScheduler.EntryHello, ToScheduler.Ping -> Unit
        }
    }

    /** Orders the start in [effect]; without a connection it is ordered again when the host is back. */
    fun start(effect: SchedulerEffect.Start) {
        val host = scheduler.state.hosts[effect.host] ?: return
        sessions.send(effect.host, FromScheduler.Start(effect.host, effect.command, host.leaseUntilHostClock))
    }

    private fun connect(
        session: SchedulerSession,
        description: HostDescription,
    ) {
        sessions.attach(description.incarnation, session)
        scheduler.hosts.connected(description, clock())
    }

    private fun describe(
        session: SchedulerSession,
        description: HostDescription,
    ) {
        if (sessions.isAttached(description.incarnation, session)) {
            scheduler.hosts.described(description, clock())
        } else {
            connect(session, description)
        }
    }

    private fun report(
        session: SchedulerSession,
        report: HostReport,
        mayExtendLease: Boolean,
    ) {
        if (!sessions.isAttached(report.incarnation, session)) return
        val leaseUntil = scheduler.hosts.reported(report, mayExtendLease, clock()) ?: return
        session.send(FromScheduler.Grant(report.incarnation, leaseUntil))
    }
}
