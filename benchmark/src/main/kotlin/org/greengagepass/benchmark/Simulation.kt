/*
 * One run of the model: steps of 100 ms in which tasks arrive, start, make progress and end, requests are served,
 * and the core decides. Messages take up to the heartbeat interval, measurements lag.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.ColocationAction
import org.greengagepass.core.process.HostObservation
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.PlacementRound
import kotlin.random.Random

/** A run of [policy] over the arrivals of a workload that [seed] gives. */
public class Simulation(
    private val deployment: Deployment,
    private val scenario: Scenario,
    private val policy: Policy,
    private val durationMillis: Long,
    seed: Long,
    interference: Double = 1.0,
) {
    private val workload = Workload(deployment, scenario, durationMillis, seed)
    private val models = PlacementModels()
    private val placement = policy.placement(deployment, models, seed)
    private val requests = QuickRequests(deployment, workload, seed)
    private val result = RunResult(Histogram(HISTOGRAM_DIGITS))
    private val agenda = Agenda(Random(seed xor MESSAGE_SEED))
    private val fleet =
        SimulatedFleet(RunSettings(deployment, policy.controls, interference), models, agenda, result, ::isIn)
    private var nextArrival = 0

    /** Runs the model to its end. */
    public fun run(): RunResult {
        while (agenda.now < durationMillis) {
            arrive()
            agenda.runDue()
            serveAndWork()
            if (agenda.now % HEARTBEAT_MILLIS == 0L) fleet.hosts.forEach { it.report(agenda.now) }
            if (agenda.now % WINDOW_MILLIS == 0L) measure()
            place()
            agenda.now += STEP_MILLIS
        }
        return result
    }

    private fun arrive() {
        while (workload.arrivals.getOrNull(nextArrival)?.let { it.atMillis <= agenda.now } == true) {
            fleet.arrive(workload.arrivals[nextArrival++])
        }
        if (scenario == Scenario.FAILURE_DOMAIN && agenda.now == durationMillis / THIRDS) {
            fleet.hosts.filterNot(::isIn).forEach { host -> host.tasks.toList().forEach(fleet::evict) }
        }
    }

    private fun isIn(host: SimulatedHost): Boolean {
        val isOutTime = agenda.now >= durationMillis / THIRDS && agenda.now < durationMillis * 2 / THIRDS
        val isAffected = host.failureDomain.value == deployment.failureDomains.first()
        return !(scenario == Scenario.FAILURE_DOMAIN && isOutTime && isAffected)
    }

    private fun serveAndWork() {
        val now = agenda.now
        fleet.hosts.forEach { it.updateSlowdown(workload.quickUtilization(now)) }
        requests.serve(fleet.hosts.filter(::isIn), now, STEP_MILLIS, result.latencyMicros)
        fleet.hosts.forEach { host ->
            result.addWork(now, host.runTasks(now, STEP_MILLIS))
            host.tasks.filter { it.isDone }.forEach { fleet.finish(host, it) }
        }
        val inService = fleet.hosts.count(::isIn)
        result.addAllowedWork(now, allowedCores(inService) * STEP_MILLIS)
        result.addAllowedLimits(now, inService * deployment.usable.milliCores / MILLI * STEP_MILLIS)
    }

    /** Cores that a perfect schedule without interference would keep busy: whole tasks, less the standing ones. */
    private fun allowedCores(inService: Int): Double {
        val perHost = deployment.usable.milliCores - deployment.standing.need.milliCores
        val tasksPerHost = perHost / deployment.steady.need.milliCores
        return inService * tasksPerHost * deployment.steady.need.milliCores / MILLI
    }

    private fun place() {
        val round =
            PlacementRound(
                waiting = fleet.waiting().asSequence().map { it.view },
                hosts = fleet.hosts.filter(::isIn).map { it.view() },
                now = Timestamp(agenda.now),
                maximum = PLACEMENTS_MAXIMUM,
            )
        placement.place(round).forEach(fleet::assign)
    }

    private fun measure() {
        fleet.hosts.mapNotNull { it.closeWindow(agenda.now) }.forEach { observation ->
            agenda.later(MEASUREMENT_LAG_MILLIS) { if (policy.controls) control(observation) }
        }
    }

    private fun control(observation: HostObservation) {
        val action = models.colocation.decide(observation, Timestamp(agenda.now)) ?: return
        agenda.withNextGrant { carryOut(action) }
    }

    private fun carryOut(action: ColocationAction) {
        models.colocation.tookEffect(action, Timestamp(agenda.now))
        val task = fleet.tasks[action.taskId]?.takeIf { it.attempt?.host == action.host } ?: return
        when (action) {
            is ColocationAction.Throttle -> task.permille = action.permille.also { result.throttles++ }
            is ColocationAction.Release -> task.permille = FULL_PERMILLE
            is ColocationAction.Evict -> fleet.evict(task).also { result.evictions++ }
        }
    }
}

private const val MESSAGE_SEED = 0x5DEECE66DL
private const val HISTOGRAM_DIGITS = 3
private const val MILLI = 1_000.0
private const val FULL_PERMILLE = 1_000
private const val THIRDS = 3
private const val STEP_MILLIS = 100L

/** Length of a window in which the percentile of a host is measured, and the time until the owner has it. */
private const val WINDOW_MILLIS = 2_000L
private const val MEASUREMENT_LAG_MILLIS = 1_000L
private const val PLACEMENTS_MAXIMUM = 1_000
