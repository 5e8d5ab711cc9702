/*
 * What follows from what hosts say: runs confirmed, ended, lost, or not expected there.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Handles messages of hosts. */
public class HostMessageHandler internal constructor(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val reports = HostReports(state, transitions)

    /** An agent has connected for the host in [description]. */
    public fun connected(
        description: HostDescription,
        moment: Moment,
    ) {
        state.hosts.earlierLives(description.incarnation).forEach { gone(it.incarnation, moment) }
        state.hosts.connect(description)
        state.outbox.note(Decision("host_connected", host = description.incarnation, detail = description.pool.value))
    }

    /** The host says something new of itself. */
    public fun described(
        description: HostDescription,
        moment: Moment,
    ) {
        val host = state.hosts[description.incarnation] ?: return connected(description, moment)
        val startsDraining = description.isDraining && !host.description.isDraining
        host.description = description
        if (startsDraining) {
            state.outbox.note(Decision("host_drains", host = description.incarnation))
            host.runs.values
                .filter { it.entry.step.lifetime == StepLifetime.STANDING }
                .forEach { transitions.stop(host, it, StopReason.HOST_DRAINS, moment) }
        }
    }

    /** The connection to the host's agent is lost; its runs stay until its lease has surely lapsed. */
    public fun disconnected(incarnation: HostIncarnation) {
        state.hosts[incarnation]?.isConnected = false
        state.outbox.note(Decision("host_disconnected", host = incarnation))
    }

    /** The life of the host has ended, and all its runs with it. */
    public fun gone(
        incarnation: HostIncarnation,
        moment: Moment,
    ) {
        val host = state.hosts[incarnation] ?: return
        val detail = "${host.runs.size} runs at ${moment.epochMillis}"
        state.outbox.note(Decision("host_gone", host = incarnation, detail = detail))
        host.runs.values
            .toList()
            .forEach { transitions.release(host, it, "the host is gone") }
        state.hosts.remove(incarnation)
        state.reliability.forget(incarnation)
    }

    /** The host has told what it holds. Returns the reading of its clock until which it may hold its tasks. */
    public fun reported(
        report: HostReport,
        mayExtendLease: Boolean,
        moment: Moment,
    ): Long? {
        val host = state.hosts[report.incarnation]?.takeIf { it.isConnected } ?: return null
        host.lastReportAt = moment.now
        reports.handle(host, report, moment)
        return if (mayExtendLease) state.hosts.extendLease(host, report.clockMillis, moment.now) else null
    }

    /** The host has answered an order to start. */
    public fun startAnswered(
        result: StartResult,
        moment: Moment,
    ) {
        val host = state.hosts[result.incarnation] ?: return
        val held = host.runs[result.run.task]?.takeIf { it.run == result.run } ?: return
        when (result.outcome) {
            StartOutcome.STARTED -> {
                held.isConfirmed = true
                held.settledAfterPoll = result.pollNumber
            }
            StartOutcome.SUPERSEDED -> {
                held.isRuledOut = true
                held.settledAfterPoll = result.pollNumber
            }
            StartOutcome.NO_ROOM, StartOutcome.UNAVAILABLE, StartOutcome.FENCED, StartOutcome.REJECTED -> {
                host.pauseUntil(moment.now.plusMillis(REFUSAL_PAUSE_MILLIS))
                transitions.release(host, held, result.outcome.name.lowercase())
            }
            StartOutcome.LATE -> transitions.release(host, held, "late")
        }
    }

    /** The host has answered an order to stop. */
    public fun stopAnswered(result: StopResult) {
        val held = state.hosts[result.incarnation]?.runs?.get(result.run.task) ?: return
        if (held.run != result.run) return
        held.isRuledOut = true
        held.settledAfterPoll = result.pollNumber
    }

    /** Releases the runs of hosts whose leases have surely lapsed. */
    public fun expireLeases(now: Timestamp) {
        state.hosts.all().filter { it.lapsesAt < now && it.runs.isNotEmpty() }.forEach { host ->
            state.outbox.note(Decision("lease_lapsed", host = host.incarnation, detail = "${host.runs.size} runs"))
            host.runs.values
                .toList()
                .forEach { transitions.release(host, it, "the lease lapsed") }
        }
        state.hosts
            .all()
            .filter { it.lapsesAt < now && !it.isConnected }
            .forEach { state.hosts.remove(it.incarnation) }
    }

    private companion object {
        /** Time until a host that refused a start gets the next one; the next report comes sooner. */
        private const val REFUSAL_PAUSE_MILLIS = 500L
    }
}
