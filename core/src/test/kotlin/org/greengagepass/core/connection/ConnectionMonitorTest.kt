/*
 * Liveness of connections over random arrivals of heartbeats and checks.
 */
package org.greengagepass.core.connection

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import kotlin.random.Random

class ConnectionMonitorTest {
    /** Guards against a silent connection that is kept open, and a live one that is closed. */
    @Test
    fun `a connection is closed exactly after three seconds without a heartbeat, and never revived`() =
        runTest {
            checkAll(PropTestConfig(seed = SEED, iterations = 2_000), Arb.long()) { seed ->
                val random = Random(seed)
                val monitor = ConnectionMonitor(Timestamp(0))
                var now = Timestamp(0)
                var lastHeartbeat = Timestamp(0)
                var dead = false
                repeat(30) {
                    now = now.plusMillis(random.nextLong(1, 1_500))
                    dead = dead || now.millisSince(lastHeartbeat) >= ConnectionMonitor.DEAD_AFTER_MILLIS
                    if (random.nextBoolean()) {
                        monitor.heartbeatReceived(now)
                        lastHeartbeat = now
                    }
                    expectThat(monitor.decide(now) == ConnectionDecision.Close).isEqualTo(dead)
                }
            }
        }

    /** Guards against heartbeats that stop, or that are sent at every check. */
    @Test
    fun `a heartbeat is sent each second`() {
        val monitor = ConnectionMonitor(Timestamp(0))
        val sent =
            (0L until 10_000L step 100).count { millis ->
                monitor.heartbeatReceived(Timestamp(millis))
                monitor.decide(Timestamp(millis)) == ConnectionDecision.SendHeartbeat
            }
        expectThat(sent).isEqualTo(10)
        expectThat(monitor.decide(Timestamp(9_950))).isA<ConnectionDecision.Wait>()
    }

    private companion object {
        private const val SEED = 20_261_206L
    }
}
