/*
 * Handles the messages of hosts, which confirm runs, list their ends, or show runs that are missing or not expected.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp

/** Handles messages of hosts. */
public class HostMessageHandler internal constructor(
    private val state: SchedulerState,
    private val transitions: RunTransitions,
) {
    private val capacityGuard = CapacityGuard(transitions)
    private val suspectRuns = SuspectRuns(state)
    private val crashAttribution = CrashAttribution(state, transitions, suspectRuns)
    private val reportHandler = HostReportHandler(state, transitions, suspectRuns, capacityGuard)

    /** Handles the connection of the agent of the host in [description]. */
    public fun connected(
        description: HostDescription,
        moment: Moment,
    ) {
        if (state.hosts.hasEnded(description.incarnation)) {
            state.effects.logDecision(Decision("host_outdated", host = description.incarnation))
            return
        }
        val earlier = state.hosts.earlierIncarnations(description.incarnation)
        val host = state.hosts.connect(description)
        earlier.forEach { incarnationEnded(it.incarnation, description.endOf(it.incarnation), moment) }
        state.effects.logDecision(
            Decision("host_connected", host = description.incarnation, detail = description.pool.value),
        )
        crashAttribution.count(description, moment)
        capacityGuard.withdrawStarts(host, moment)
    }

    /** Handles a changed [description] of a host. */
    public fun descriptionChanged(
        description: HostDescription,
        moment: Moment,
    ) {
        val host = state.hosts[description.incarnation] ?: return connected(description, moment)
        val startsDraining = description.isDraining && !host.description.isDraining
        host.describe(description)
        capacityGuard.withdrawStarts(host, moment)
        crashAttribution.count(description, moment)
        if (startsDraining) {
            state.effects.logDecision(Decision("host_drains", host = description.incarnation))
            host.runs.values
                .filter { it.task.step.lifetime == StepLifetime.STANDING }
                .forEach { transitions.stop(host, it, StopReason.HOST_DRAINS, moment) }
        }
    }

    /** Handles a lost connection to the host's agent. Runs stay placed until the lease has certainly expired. */
    public fun disconnected(incarnation: HostIncarnation) {
        state.hosts[incarnation]?.isConnected = false
        state.effects.logDecision(Decision("host_disconnected", host = incarnation))
    }

    /** Handles the message that the executor of [incarnation] does not answer. */
    public fun silent(
        incarnation: HostIncarnation,
        moment: Moment,
    ) {
        val host = state.hosts[incarnation] ?: return
        if (host.silentSince != null) return
        host.silentSince = moment.now
        val jobs = host.runs.keys.mapTo(HashSet()) { it.job }
        val isExplained = host.runs.values.any { it.isOnTrial }
        val outage =
            host.description.run {
                HostOutage(
                    incarnation,
                    rack,
                    failureDomain,
                    moment.now,
                    jobs,
                    isExplained,
                )
            }
        state.outages.record(outage, moment.now)
        state.effects.logDecision(Decision("host_silent", host = incarnation))
    }

    /** Handles the end of an incarnation of a host, which ends all its runs. */
    public fun incarnationEnded(
        incarnation: HostIncarnation,
        end: IncarnationEnd,
        moment: Moment,
    ) {
        val host = state.hosts[incarnation]
        state.hosts.end(incarnation)
        if (host == null) return
        val detail = "${end.name.lowercase()}, ${host.runs.size} runs at ${moment.epochMillis}"
        state.effects.logDecision(Decision("host_gone", host = incarnation, detail = detail))
        host.runs.values
            .toList()
            .forEach { transitions.release(host, it, "the host is gone") }
        state.reliability.remove(incarnation)
    }

    /**
     * Handles a report. Returns the end of the host's lease as a reading of the host's clock, or null if the lease is
     * not extended.
     */
    public fun reportReceived(
        report: HostReport,
        mayExtendLease: Boolean,
        moment: Moment,
    ): Long? {
        val host = state.hosts[report.incarnation]?.takeIf { it.isConnected } ?: return null
        host.lastReportAt = moment.now
        if (host.silentSince != null) state.outages.remove(host.incarnation)
        host.silentSince = null
        reportHandler.handle(host, report, moment)
        return if (mayExtendLease) state.hosts.extendLease(host, report.clockMillis, moment.now) else null
    }

    /** Handles the answer of a host to a start command. */
    public fun startAnswered(
        result: StartResult,
        moment: Moment,
    ) {
        val host = state.hosts[result.incarnation] ?: return
        val placed = host.runs[result.run.task]?.takeIf { it.run == result.run } ?: return
        when (result.outcome) {
            StartOutcome.STARTED -> {
                state.runStarted(placed.run)
                placed.isConfirmed = true
                placed.settledAfterPoll = result.pollNumber
            }
            StartOutcome.SUPERSEDED -> {
                placed.isStartExcluded = true
                placed.settledAfterPoll = result.pollNumber
            }
            StartOutcome.NO_ROOM, StartOutcome.UNAVAILABLE, StartOutcome.FENCED, StartOutcome.REJECTED -> {
                host.pauseUntil(moment.now.plusMillis(REFUSAL_PAUSE_MILLIS))
                startRefused(host, placed, result.outcome, moment)
            }
            StartOutcome.LATE -> startRefused(host, placed, result.outcome, moment)
        }
    }

    /** The refusal of one command does not rule out another one for the same run; a stop rules out all of them. */
    private fun startRefused(
        host: Host,
        placed: PlacedRun,
        outcome: StartOutcome,
        moment: Moment,
    ) {
        if (!placed.hasEarlierStart) {
            transitions.release(host, placed, outcome.name.lowercase())
        } else if (placed.stopRequestedAt == null) {
            transitions.stop(host, placed, StopReason.START_REFUSED, moment)
        }
    }

    /** Handles the answer of a host to a stop command. */
    public fun stopAnswered(result: StopResult) {
        val placed = state.hosts[result.incarnation]?.runs?.get(result.run.task) ?: return
        if (placed.run != result.run) return
        placed.isStartExcluded = true
        placed.settledAfterPoll = result.pollNumber
    }

    /** Releases the runs of hosts whose leases have certainly expired. */
    public fun expireLeases(now: Timestamp) {
        state.hosts.all().filter { it.leaseExpiresAt < now && it.runs.isNotEmpty() }.forEach { host ->
            state.effects.logDecision(
                Decision("lease_lapsed", host = host.incarnation, detail = "${host.runs.size} runs"),
            )
            suspectRuns.leaseExpired(host, now)
            host.runs.values
                .toList()
                .forEach { transitions.release(host, it, "the lease expired") }
        }
        state.hosts
            .all()
            .filter { it.leaseExpiresAt < now && !it.isConnected }
            .forEach { state.hosts.remove(it.incarnation) }
    }

    private companion object {
        /** Pause of a host that refused a start. Its next report arrives sooner. */
        private const val REFUSAL_PAUSE_MILLIS = 500L
    }
}
