/*
 * Decides which incarnation of the executor the agent serves. A heartbeat only claims an incarnation: another writer
 * may have sent it, or it may be a delayed one. The executor is asked before a claim replaces what is known, since the
 * scheduler starts the runs of a replaced incarnation elsewhere. Confined to the agent's dispatcher.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.services.process.IncarnationProbe
import org.greengagepass.services.process.ProbeResult

/** Verifies claims with [probe] in the name of the leader of [epoch], and passes what holds to [onDescribed]. */
internal class ExecutorRegistration(
    private val probe: IncarnationProbe,
    private val scope: CoroutineScope,
    private val epoch: () -> Epoch,
    private val onDescribed: (HostDescription) -> Unit,
) {
    /** The executor as it last described itself, or null if none is known. */
    var current: HostDescription? = null
        private set

    /** False while the executor has named only its identifier, not its start time. */
    private var isConfirmed = false

    /** The latest claim of each incarnation about which the executor is being asked. */
    private val claims = HashMap<HostIncarnation, HostDescription>()

    /** Handles a heartbeat that claims [description]. */
    fun onHeartbeat(description: HostDescription) {
        val known = current
        when {
            known?.incarnation == description.incarnation -> describe(description.after(known))
            known != null && isConfirmed && description.isEarlierThan(known) -> Unit
            description.incarnation in claims -> claims[description.incarnation] = description
            claims.size < PROBES_MAXIMUM -> verify(description)
            else -> logger.info("ignoring a heartbeat of {} beside many others", description.incarnation)
        }
    }

    /** Handles a report of [incarnation] itself. */
    fun onReport(incarnation: HostIncarnation) {
        if (current?.incarnation == incarnation) isConfirmed = true
    }

    /**
     * Returns the incarnation that the deregistration of [executor] is about, or null if it is a delayed one. An
     * executor drains before it deregisters.
     */
    fun deregistered(
        executor: ExecutorName,
        startedAtEpochMillis: Long?,
    ): HostIncarnation? =
        current
            ?.takeIf { it.isDraining }
            ?.incarnation
            ?.takeIf { it.executor == executor }
            ?.takeIf { startedAtEpochMillis == null || startedAtEpochMillis == it.startedAtEpochMillis }

    /** The executor has ended. */
    fun clear() {
        current = null
        isConfirmed = false
    }

    private fun verify(description: HostDescription) {
        val incarnation = description.incarnation
        claims[incarnation] = description
        scope.launch {
            val result = askRepeatedly(incarnation)
            claims.remove(incarnation)?.let { decide(it, result) }
        }
    }

    private suspend fun askRepeatedly(incarnation: HostIncarnation): ProbeResult {
        var result = probe.probe(incarnation, epoch())
        var tries = 1
        while (result is ProbeResult.Unanswered && tries < TRIES_MAXIMUM) {
            delay(RETRY_MILLIS)
            result = probe.probe(incarnation, epoch())
            tries += 1
        }
        return result
    }

    private fun decide(
        claim: HostDescription,
        result: ProbeResult,
    ) {
        when (result) {
            ProbeResult.Confirmed -> {
                isConfirmed = true
                describe(claim)
            }
            // An agent that has just started may know an outdated epoch, and connects to a leader only with a host.
            ProbeResult.Fenced -> if (current == null) describe(claim)
            is ProbeResult.Denied ->
                logger.warn("ignoring a heartbeat of {}: {}", claim.incarnation, result.detail)
            is ProbeResult.Unanswered ->
                logger.info("could not verify a heartbeat of {}: {}", claim.incarnation, result.detail)
        }
    }

    private fun describe(description: HostDescription) {
        current = description
        onDescribed(description)
    }

    /** An executor that drains does not become ready again. */
    private fun HostDescription.after(earlier: HostDescription): HostDescription =
        copy(isDraining = isDraining || earlier.isDraining)

    private fun HostDescription.isEarlierThan(other: HostDescription): Boolean =
        incarnation.startedAtEpochMillis < other.incarnation.startedAtEpochMillis

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.agent")

        /** Bounds the connections to the executor, which accepts 64, while other writers send heartbeats. */
        private const val PROBES_MAXIMUM = 8

        /** An executor that fails a part of its calls answers one of three within the time between two heartbeats. */
        private const val TRIES_MAXIMUM = 3
        private const val RETRY_MILLIS = 100L
    }
}
