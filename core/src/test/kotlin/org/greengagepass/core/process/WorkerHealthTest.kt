/*
 * Quarantine of workers on which tasks fail, but not because of tasks that fail everywhere.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.list
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo

private val BAD = HostId("bad")
private val GOOD = HostId("good")
private const val SEED = 20_261_205L

class WorkerHealthTest {
    private val health = WorkerHealth()

    @Test
    fun `a worker is quarantined after three failures of tasks that run elsewhere`() {
        failAndRunElsewhere(count = 2)
        expectThat(at(0)).isEqualTo(WorkerAvailability.Available)
        failAndRunElsewhere(count = 3)
        expectThat(at(29_999)).isEqualTo(WorkerAvailability.Quarantined(Timestamp(30_000)))
        expectThat(at(30_000)).isEqualTo(WorkerAvailability.ProbeDue)
    }

    @Test
    fun `repeated failures of one task do not quarantine a worker`() {
        health.ran(GOOD, TaskId("task"), Timestamp(0))
        repeat(times = 9) { health.failed(BAD, TaskId("task"), Timestamp(0)) }
        expectThat(at(0)).isEqualTo(WorkerAvailability.Available)
    }

    @Test
    fun `tasks that fail everywhere quarantine no worker`() =
        runTest {
            val config = PropTestConfig(seed = SEED, iterations = 300)
            checkAll(config, Arb.list(Arb.int(min = 0, max = 9), 0..200)) { tasks ->
                val health = WorkerHealth()
                val hosts = List(size = 5) { HostId("host-$it") }
                tasks.forEachIndexed { index, task ->
                    health.failed(hosts[index % hosts.size], TaskId("task-$task"), Timestamp(index.toLong()))
                }
                hosts.forEach {
                    expectThat(health.availability(it, Timestamp(0))).isEqualTo(WorkerAvailability.Available)
                }
            }
        }

    @Test
    fun `a success resets the count of consecutive failures`() {
        failAndRunElsewhere(count = 2)
        health.ran(BAD, TaskId("fine"), Timestamp(0))
        health.failed(BAD, TaskId("task-2"), Timestamp(0))
        expectThat(at(0)).isEqualTo(WorkerAvailability.Available)
    }

    @Test
    fun `the interval between probes doubles up to ten minutes, and a success ends the quarantine`() {
        failAndRunElsewhere(count = 3)
        var now = 30_000L
        val intervals = mutableListOf<Long>()
        repeat(times = 6) { probe ->
            health.placed(BAD, TaskId("probe-$probe"), Timestamp(now))
            health.failed(BAD, TaskId("probe-$probe"), Timestamp(now))
            val next = (at(now) as WorkerAvailability.Quarantined).probeAt.millis
            intervals += next - now
            now = next
        }
        expectThat(intervals).isEqualTo(mutableListOf(60_000, 120_000, 240_000, 480_000, 600_000, 600_000))
        health.ran(BAD, TaskId("fine"), Timestamp(now))
        expectThat(at(now)).isEqualTo(WorkerAvailability.Available)
    }

    @Test
    fun `while a probe runs the worker receives no second task`() {
        failAndRunElsewhere(count = 3)
        health.placed(BAD, TaskId("probe"), Timestamp(30_000))
        expectThat(at(30_000)).isEqualTo(WorkerAvailability.Quarantined(Timestamp(60_000)))
    }

    private fun failAndRunElsewhere(count: Int) =
        repeat(count) {
            health.failed(BAD, TaskId("task-$it"), Timestamp(0))
            health.ran(GOOD, TaskId("task-$it"), Timestamp(0))
        }

    private fun at(millis: Long) = health.availability(BAD, Timestamp(millis))
}
