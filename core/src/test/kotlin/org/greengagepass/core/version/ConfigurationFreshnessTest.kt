/*
 * Start permissions after a failure domain was taken out of service (G4), for processes that read the log, get its
 * head from peers, or can reach neither, with delayed replies, short pages and log outages.
 */
package org.greengagepass.core.version

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isGreaterThan
import kotlin.random.Random

class ConfigurationFreshnessTest {
    /** Guards against a start based on a view in which the failure domain is still in service. */
    @Test
    fun `no permission to start outlives the out record by more than three seconds`() =
        runTest {
            var permissions = 0
            checkAll(PropTestConfig(seed = 20_261_209L, iterations = 3_000), Arb.long()) { seed ->
                permissions += FreshnessHistory(Random(seed)).run(steps = 600)
            }
            expectThat(permissions).isGreaterThan(30_000)
        }
}

private class FreshnessHistory(
    private val random: Random,
) {
    private val processes = List(4) { SimulatedProcess(random.nextLong(100_000), random.nextLong(100_000)) }
    private val log = ArrayList<ConfigurationBatch>()
    private val inTransit = ArrayList<() -> Unit>()
    private var now = 0L
    private var outAt = Long.MAX_VALUE
    private var permissions = 0
    private var latestEnd = Long.MIN_VALUE

    fun run(steps: Int): Int {
        repeat(steps) { number ->
            val process = processes.random(random)
            when (random.nextInt(16)) {
                0, 1 -> now += random.nextLong(400)
                2, 3 -> if (process.hasLog) read(process)
                4, 5 -> if (process.hasPeers) queryPeer(process, processes.filter { it.hasPeers }.random(random))
                in 6..10 -> if (inTransit.isNotEmpty()) inTransit.removeAt(random.nextInt(inTransit.size))()
                11, 12 -> process.readWorkerClock(now)
                13, 14 -> permit(process)
                else -> change(process, number)
            }
        }
        return permissions
    }

    private fun change(
        process: SimulatedProcess,
        number: Int,
    ) {
        when (random.nextInt(6)) {
            0 -> process.hasLog = !process.hasLog
            1 -> process.hasPeers = !process.hasPeers
            2 -> if (number > 200 && outAt == Long.MAX_VALUE) append(isOut = true)
            3 -> if (outAt == Long.MAX_VALUE) append(isOut = false)
        }
    }

    private fun append(isOut: Boolean) {
        val name = FailureDomainName(if (isOut) "medina" else "port")
        val record = ConfigurationRecord.FailureDomainOut(name, "works", null, "ana", "${log.size}", now)
        log.add(ConfigurationBatch("w", log.size.toLong(), listOf(record)))
        if (isOut) {
            outAt = now
            verify()
        }
    }

    /** The log handles the read some time after it was sent, and the reply arrives later still. */
    private fun read(process: SimulatedProcess) {
        val sentAt = process.clock(now)
        inTransit.add {
            val end = log.size
            val pageEnd = if (random.nextInt(4) == 0) random.nextInt(end + 1) else end
            val arrive = {
                (0 until pageEnd).forEach { process.state.fold(it.toLong(), log[it]) }
                process.freshness.folded(process.state.head)
                process.freshness.readReturned(sentAt, FencingToken.of(end.toLong(), 0))
            }
            if (random.nextBoolean()) arrive() else inTransit.add(arrive)
        }
    }

    private fun queryPeer(
        process: SimulatedProcess,
        peer: SimulatedProcess,
    ) {
        val sentAt = process.clock(now)
        inTransit.add {
            peer.freshness.answerForPeer(peer.clock(now))?.let { confirmed ->
                inTransit.add { process.freshness.peerAnswered(sentAt, confirmed.head, confirmed.ageMillis) }
            }
        }
    }

    private fun permit(process: SimulatedProcess) {
        val reading = process.workerReading ?: return
        val deadline = process.freshness.startDeadline(reading, process.clock(now))
        if (deadline != null && !process.state.view.isOut(FailureDomainName("medina"))) {
            permissions++
            val endsAt = deadline.millis - process.workerOffsetMillis
            latestEnd = maxOf(latestEnd, endsAt)
            verify()
        }
    }

    /** Checks permissions that were given before the out record was written as well as after it. */
    private fun verify() {
        val isInService = outAt == Long.MAX_VALUE
        check(isInService || latestEnd <= outAt + ConfigurationFreshness.PERMISSION_AGE_MAXIMUM_MILLIS) {
            "G4: a permission ends at $latestEnd; medina was taken out at $outAt"
        }
    }
}

private class SimulatedProcess(
    private val offsetMillis: Long,
    val workerOffsetMillis: Long,
) {
    val state = ConfigurationState()
    val freshness = ConfigurationFreshness()
    var hasLog = true
    var hasPeers = true
    var workerReading: Timestamp? = null
        private set

    fun clock(now: Long): Timestamp = Timestamp(now + offsetMillis)

    fun readWorkerClock(now: Long) {
        workerReading = Timestamp(now + workerOffsetMillis)
    }
}
