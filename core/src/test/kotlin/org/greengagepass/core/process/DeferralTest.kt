/*
 * Tasks that could run only under a strong throttle are deferred for a bounded time while other work runs.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.doesNotContain
import strikt.assertions.isA

private const val DEFERRAL_TICKS = 3_000
private val NOISY = TeamName("noisy")
private val QUIET = TeamName("quiet")

class DeferralTest {
    private val simulation = PlacementSimulation(hostCount = 1, seed = 1)

    @Test
    fun `a kind that breaks the objective is deferred for a bounded time while harmless work is placed`() {
        val noisy = submit(NOISY, "NORMAL-evictable")
        val quiet = submit(QUIET, "NORMAL-evictable")
        train()
        simulation.tick()
        expectThat(simulation.placedAt.keys).contains(quiet).doesNotContain(noisy)
        expectThat(simulation.placement.waitReasonOf(noisy)).isA<WaitReason.Interference>()
        repeat(times = DEFERRAL_TICKS) { simulation.tick() }
        expectThat(simulation.placedAt.keys).contains(noisy)
    }

    @Test
    fun `an urgent task is not deferred`() {
        val noisy = submit(NOISY, "URGENT-evictable")
        train()
        simulation.tick()
        expectThat(simulation.placedAt.keys).contains(noisy)
    }

    private fun submit(
        team: TeamName,
        profile: String,
    ): TaskId = simulation.submit(team, Resources(milliCores = 4_000), profile)

    /** Trains the model of the kind "noisy"; the simulation names kinds after teams. */
    private fun train() =
        repeat(times = 100) { window ->
            val isNoisy = window % 2 == 0
            val task = ColocatedTask(TaskId("t"), WorkKind("noisy"), coreShare = 0.4, true, true, 0)
            val latency = if (isNoisy) 99.0 else 10.0
            val service = ServiceObservation(WorkKind("service"), latency, utilization = 0.3, objectiveMillis = 100)
            val start = Timestamp(window * 10L)
            val observation =
                HostObservation(
                    HostId("host-0"),
                    start,
                    start.plusMillis(10),
                    listOf(service),
                    listOf(task).filter { isNoisy },
                )
            simulation.models.colocation.decide(observation, start.plusMillis(10))
        }
}
