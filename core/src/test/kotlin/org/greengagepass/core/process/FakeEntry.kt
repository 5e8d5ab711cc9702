/*
 * A simulated entry with a PartitionOwner: it reads the log and the configuration, and carries out decisions.
 */
package org.greengagepass.core.process

import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.Timestamp

internal class FakeEntry(
    private val partition: PartitionSimulation,
    val name: String,
    settings: OwnerSettings,
    state: PartitionState,
) : OwnerConfiguration {
    private val simulation = partition.simulation
    private val clock = DriftingClock(simulation)
    private var pausedUntil = 0L
    private var isNextDelayed = false
    private var outDomains = emptySet<FailureDomainName>()
    private var configurationConfirmedAt: Timestamp? = null
    var isDead = false

    /** True while the entry can reach the hosts, but neither the log nor the configuration. */
    var isDisconnected = false
    val owner = PartitionOwner(OwnerIdentity(EntryId(name), "address of $name"), settings, FirstFit, this, state)

    fun start() {
        simulation.every(60L) { ifAlive { receive(OwnerInput.Tick) } }
        simulation.every(150L) { ifAlive { if (!isDisconnected) readLog() } }
        simulation.every(400L) { ifAlive { if (!isDisconnected) readConfiguration() } }
    }

    /** Pauses the process for [millis]; [midway] pauses it between the next decisions and carrying them out. */
    fun pause(
        millis: Long,
        midway: Boolean,
    ) {
        pausedUntil = simulation.now + millis
        isNextDelayed = midway
    }

    fun receive(input: OwnerInput) {
        val isPaused = simulation.now < pausedUntil
        when {
            isDead -> Unit
            isPaused && isNextDelayed -> {
                isNextDelayed = false
                val decisions = owner.handle(input, reading())
                simulation.at(pausedUntil) { decisions.forEach(::carryOut) }
            }
            isPaused -> simulation.at(pausedUntil) { receive(input) }
            else -> owner.handle(input, reading()).forEach(::carryOut)
        }
    }

    override fun ageMillis(now: Timestamp): Long? = configurationConfirmedAt?.let(now::millisSince)

    override fun isOut(failureDomain: FailureDomainName): Boolean = failureDomain in outDomains

    fun deadline(millis: Long): Timestamp = clock.read().plusMillis(millis)

    private fun reading() = ClockReading(clock.read(), simulation.now)

    private fun ifAlive(action: () -> Unit): Boolean {
        if (!isDead && simulation.now >= pausedUntil) action()
        return !isDead
    }

    private fun readLog() = partition.log.read(clock.read(), owner.state.nextOffset, ::receive)

    private fun readConfiguration() {
        val sentAt = clock.read()
        simulation.send {
            if (!partition.log.isDown) {
                val seen = partition.outDomains()
                simulation.send { configurationRead(sentAt, seen) }
            }
        }
    }

    private fun configurationRead(
        sentAt: Timestamp,
        seen: Set<FailureDomainName>,
    ) {
        if (simulation.now < pausedUntil) {
            simulation.at(pausedUntil) { configurationRead(sentAt, seen) }
        } else if (configurationConfirmedAt.let { it == null || it < sentAt }) {
            configurationConfirmedAt = sentAt
            outDomains = seen
        }
    }

    private fun carryOut(decision: OwnerDecision) {
        when (decision) {
            is OwnerDecision.Append -> if (!isDisconnected) partition.log.append(decision.batch)
            is OwnerDecision.SendGrant ->
                simulation.send { partition.host(decision.host).receive(this, decision.incarnation, decision.grant) }
            is OwnerDecision.DispatchPermitted -> partition.callers.dispatch(this, decision)
            is OwnerDecision.AnswerCaller -> partition.callers.answered(decision)
            is OwnerDecision.WriteSnapshot -> partition.snapshot = Snapshot.take(owner.state, name, recordsPerChunk = 7)
            is OwnerDecision.ReleaseRecorded -> isDead = true
            is OwnerDecision.RestoreRequired -> error("no record expires in these histories")
            is OwnerDecision.OwnershipGained -> partition.guarantees.count("ownerships")
            is OwnerDecision.OwnershipLost -> Unit
        }
    }
}
