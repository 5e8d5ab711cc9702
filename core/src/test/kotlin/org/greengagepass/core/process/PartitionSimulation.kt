/*
 * A simulated partition with three entries and four hosts, and faults in a random order that the seed determines.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId

internal class PartitionSimulation(
    seed: Long,
) {
    val simulation = Simulation(seed)
    val guarantees = Guarantees()
    val log = FakeLog(simulation, guarantees)
    val callers = FakeCallers(this)
    var snapshot: List<SnapshotChunk> = emptyList()
    private val random = simulation.random
    private val out = HashMap<FailureDomainName, Long>()
    private val domains = listOf(FailureDomainName("medina"), FailureDomainName("port"))
    private val hosts =
        (0 until HOSTS).map { HostId("host-$it") }.associateWith { FakeHost(this, it, domains.random(random)) }
    private val entries = ArrayList<FakeEntry>()
    private var entryNumber = 0

    fun host(host: HostId): FakeHost = hosts.getValue(host)

    fun outDomains(): Set<FailureDomainName> = out.keys.toSet()

    fun outSince(domain: FailureDomainName): Long? = out[domain]

    /** Sends [input] to every entry that [host] can reach, including an owner that was replaced. */
    fun toEntries(
        host: FakeHost,
        input: OwnerInput,
    ) = entries.filter(host::reaches).forEach { simulation.send { it.receive(input) } }

    /** Runs faults and work for [FAULT_MILLIS], then a time without faults in which all work must end. */
    fun run() {
        guarantees.endAllExpired = { hosts.values.forEach { it.worker?.endExpired() } }
        hosts.values.forEach(FakeHost::boot)
        repeat(ENTRIES) { startEntry() }
        simulation.every(500L) { duringFaults { work() } }
        val faultPeriod = random.nextLong(1_500, 12_000)
        simulation.every(faultPeriod) { duringFaults { repeat(random.nextInt(1, 3)) { fault() } } }
        simulation.runUntil(FAULT_MILLIS)
        simulation.isReliable = true
        log.isDown = false
        out.clear()
        entries.forEach { it.isDisconnected = false }
        hosts.values.forEach { it.onlyReachable = null }
        simulation.runUntil(END_MILLIS)
        guarantees.checkEnd(callers.accepted)
    }

    private fun duringFaults(action: () -> Unit): Boolean {
        val isFaulty = simulation.now < FAULT_MILLIS
        if (isFaulty) action()
        return isFaulty
    }

    private fun startEntry() {
        val restored = if (simulation.chance(percent = 50)) Snapshot.restore(snapshot) else null
        val number = entryNumber++
        val settings =
            OwnerSettings(
                outageAllowanceMillis = OUTAGE_ALLOWANCE_MILLIS,
                claimDelayMillis = number % ENTRIES * 200L,
                retention = RetentionSettings(snapshotMillis = 5_000),
            )
        val entry = FakeEntry(this, "entry-$number", settings, restored ?: PartitionState())
        entries += entry
        entry.start()
    }

    private fun work() {
        val entry = entries.random(random)
        when (random.nextInt(10)) {
            in 0..3 -> callers.submit(entry)
            in 4..7 -> callers.request(entry)
            8 -> callers.cancel(entry)
            else -> entries.forEach(callers::evict)
        }
    }

    private fun fault() {
        val entry = entries.random(random)
        val host = hosts.values.random(random)
        when (random.nextInt(17)) {
            0, 1 -> replace(entry) { entry.isDead = true }
            2 -> replace(entry) { entry.receive(OwnerInput.Shutdown) }
            3, 4 -> entry.pause(random.nextLong(500, 30_000), midway = simulation.chance(percent = 50))
            5, 6 -> disconnect(entry)
            7 -> host.pauseAgent(random.nextLong(500, 15_000))
            8, 9 -> {
                host.killAgent()
                simulation.after(100L..14_000L) { host.startAgent() }
            }
            10 -> {
                host.crash()
                simulation.after(3_000L..30_000L) { host.boot() }
            }
            11 -> takeLogDown()
            12 -> connectOnly(host, entry)
            in 13..15 -> isolate()
            else -> toggle(domains.random(random))
        }
    }

    private fun replace(
        entry: FakeEntry,
        stop: () -> Unit,
    ) {
        stop()
        simulation.after(500L..15_000L) {
            entries.removeIf { it.isDead }
            if (entries.size < ENTRIES) startEntry()
        }
        simulation.after(40_000L..40_000L) {
            entry.isDead = true
            entries.remove(entry)
            while (entries.size < ENTRIES) startEntry()
        }
    }

    private fun disconnect(entry: FakeEntry) {
        entry.isDisconnected = true
        simulation.after(2_000L..90_000L) { entry.isDisconnected = false }
    }

    /** Lets [host] reach only [entry] for a while. */
    private fun connectOnly(
        host: FakeHost,
        entry: FakeEntry,
    ) {
        host.onlyReachable = entry
        simulation.after(1_000L..90_000L) { host.onlyReachable = null }
    }

    /**
     * Disconnects an owner from the log and some hosts from the other entries; agents of these hosts may be replaced.
     * The owner that takes over may be stopped as well.
     */
    private fun isolate() {
        val isolated = entries.firstOrNull { it.owner.ownedEpoch != null } ?: return
        disconnect(isolated)
        hosts.values.shuffled(random).take(random.nextInt(1, HOSTS)).forEach { host ->
            simulation.after(0L..15_000L) {
                connectOnly(host, isolated)
                if (simulation.chance(percent = 50)) host.killAgent().also { host.startAgent() }
            }
        }
        if (simulation.chance(percent = 30)) {
            simulation.after(8_000L..20_000L) {
                val successor = entries.firstOrNull { it !== isolated && it.owner.ownedEpoch != null }
                successor?.let { replace(it) { it.receive(OwnerInput.Shutdown) } }
            }
        }
    }

    private fun takeLogDown() {
        log.isDown = true
        simulation.after(500L..30_000L) { log.isDown = false }
    }

    private fun toggle(domain: FailureDomainName) {
        if (out.remove(domain) == null) out[domain] = simulation.now
    }

    companion object {
        private const val HOSTS = 4
        private const val ENTRIES = 3

        /** Shorter than the default, so that the allowance ends within a history. */
        private const val OUTAGE_ALLOWANCE_MILLIS = 30_000L
        private const val FAULT_MILLIS = 120_000L
        private const val END_MILLIS = 420_000L
    }
}
