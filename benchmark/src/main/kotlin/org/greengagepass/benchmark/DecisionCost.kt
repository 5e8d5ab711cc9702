/*
 * Measures the cost of placement decisions at several numbers of workers: rounds of 1,000 waiting tasks on hosts that
 * are about half full.
 */
package org.greengagepass.benchmark

import com.sun.management.ThreadMXBean
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.ProfileName
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.HostView
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.PlacementRound
import org.greengagepass.core.process.Task
import org.greengagepass.core.process.TaskPlacement
import org.greengagepass.core.process.TaskSpecification
import java.lang.management.ManagementFactory
import java.util.Locale
import kotlin.random.Random

/** Cost of placement decisions at one number of workers. */
public data class PlacementCost(
    val workers: Int,
    val decisionsPerSecond: Double,
    val roundSetupMicros: Double,
    val bytesPerDecision: Double,
    val indexVisitsPerDecision: Double,
) {
    /** The cost as a row of a Markdown table. */
    val tableRow: String
        get() =
            String.format(
                Locale.ROOT,
                "| %d | %.0f | %.0f | %.0f | %.1f |",
                workers,
                decisionsPerSecond,
                roundSetupMicros,
                bytesPerDecision,
                indexVisitsPerDecision,
            )
}

/** Measures placement rounds. */
public class DecisionCost(
    private val seed: Long,
) {
    /** Measures at 100, 1,000 and 20,000 workers. Subtracts the cost of rounds without tasks from each round. */
    public fun measure(): List<PlacementCost> {
        WORKERS.forEach { measureAt(it, WARM_UP_ROUNDS) }
        return WORKERS.map { measureAt(it, ROUNDS) }
    }

    private fun measureAt(
        workers: Int,
        rounds: Int,
    ): PlacementCost {
        val placement =
            Policy.GREENGAGEPASS.placement(KnownDeployment.SFAX.deployment, PlacementModels(), seed) as TaskPlacement
        val hosts = hosts(workers)
        val emptyRounds = List(rounds) { measureRound(placement, hosts, emptyList()) }.drop(rounds / 2)
        val indexVisitsBefore = placement.indexVisits
        val fullRounds = List(rounds) { round -> measureRound(placement, hosts, tasks(round)) }
        val indexVisits = placement.indexVisits - indexVisitsBefore
        val measuredRounds = fullRounds.drop(rounds / 2)
        val setup = emptyRounds.sumOf { it.nanos } / emptyRounds.size
        val setupBytes = emptyRounds.sumOf { it.bytes } / emptyRounds.size
        val decisions = measuredRounds.sumOf { it.decisions }.coerceAtLeast(1)
        val nanos = measuredRounds.sumOf { it.nanos - setup }
        return PlacementCost(
            workers = workers,
            decisionsPerSecond = decisions * NANOS_PER_SECOND / nanos,
            roundSetupMicros = setup / NANOS_PER_MICRO,
            bytesPerDecision = measuredRounds.sumOf { it.bytes - setupBytes }.toDouble() / decisions,
            indexVisitsPerDecision = indexVisits.toDouble() / fullRounds.sumOf { it.decisions }.coerceAtLeast(1),
        )
    }

    private class RoundCost(
        val decisions: Int,
        val nanos: Long,
        val bytes: Long,
    )

    private fun measureRound(
        placement: TaskPlacement,
        hosts: List<HostView>,
        tasks: List<Task>,
    ): RoundCost {
        val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean
        val round = PlacementRound(tasks.asSequence(), hosts, Timestamp(0), TASKS_PER_ROUND)
        val bytes = threads.currentThreadAllocatedBytes
        val start = System.nanoTime()
        val placements = placement.place(round)
        val nanos = System.nanoTime() - start
        val allocated = threads.currentThreadAllocatedBytes - bytes
        placements.forEach { placement.ended(it.taskId) }
        return RoundCost(placements.size, nanos, allocated)
    }

    private fun hosts(workers: Int): List<HostView> {
        val random = Random(seed)
        val size = KnownDeployment.SFAX.deployment.host
        return List(workers) {
            val free =
                Resources(
                    milliCores = random.nextLong(size.milliCores),
                    memoryMegabytes = random.nextLong(size.memoryMegabytes),
                )
            HostView(
                host = HostId("host-$it"),
                failureDomain = FailureDomainName("domain-${it % FAILURE_DOMAINS}"),
                rack = RackName("rack-${it / (FAILURE_DOMAINS * Deployment.HOSTS_PER_RACK)}"),
                capacity = size,
                free = free,
                tasks = emptyList(),
            )
        }
    }

    private fun tasks(round: Int): List<Task> {
        val random = Random(seed + round)
        return List(TASKS_PER_ROUND) {
            val declared =
                Resources(
                    milliCores = random.nextLong(DECLARED_MILLI_CORES_MAXIMUM),
                    memoryMegabytes = random.nextLong(DECLARED_MEGABYTES_MAXIMUM),
                )
            val specification =
                TaskSpecification(
                    TaskId("task-$round-$it"),
                    TeamName("team-${random.nextInt(TEAMS)}"),
                    ProfileName(SimulatedTask.BATCH_PROFILE),
                    WorkKind("kind-${random.nextInt(KINDS)}"),
                    declared,
                )
            Task(specification, FencingToken(it.toLong()), submittedAtEpochMillis = 0)
        }
    }
}

private const val FEW_WORKERS = 100
private const val SOME_WORKERS = 1_000
private const val TARGET_WORKERS = 20_000
private val WORKERS = listOf(FEW_WORKERS, SOME_WORKERS, TARGET_WORKERS)
private const val DECLARED_MILLI_CORES_MAXIMUM = 1_000L
private const val DECLARED_MEGABYTES_MAXIMUM = 4_000L
private const val WARM_UP_ROUNDS = 100
private const val ROUNDS = 200
private const val TASKS_PER_ROUND = 1_000
private const val FAILURE_DOMAINS = 19
private const val TEAMS = 1_200
private const val KINDS = 50
private const val NANOS_PER_SECOND = 1e9
private const val NANOS_PER_MICRO = 1e3
