/*
 * Passes messages from agents to the scheduler.
 */
package org.greengagepass.entry.process.jobs

import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.IncarnationEnd
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler

/** Passes messages of the agents connected in [sessions] to [scheduler]. [commands] are those sent to them. */
internal class HostMessages(
    private val scheduler: JobScheduler,
    private val sessions: HostSessions,
    private val commands: HostCommands,
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

    private fun connect(
        session: SchedulerSession,
        description: HostDescription,
    ) {
        sessions.attach(description.incarnation, session)?.let { scheduler.hosts.disconnected(it) }
        commands.forget(description.incarnation)
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
