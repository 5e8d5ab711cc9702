/*
 * One run of the simulation, in steps of 100 ms. In each step tasks arrive, start, make progress and end, requests are
 * served, and the core decides. Messages are delayed by up to the heartbeat interval, measurements by a fixed time.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.ColocationAction
import org.greengagepass.core.process.HostObservation
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.PlacementRound
import kotlin.random.Random

/** Simulates [policy] on the arrivals of the workload with [seed]. */
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
    private val requests = RequestModel(deployment, workload, seed)
    private val result = RunResult(Histogram(HISTOGRAM_DIGITS))
    private val eventQueue = EventQueue(Random(seed xor MESSAGE_SEED))
    private val fleet =
        SimulatedFleet(
            RunSettings(deployment, policy.controlsColocation, interference),
            models,
            eventQueue,
            result,
            ::isInService,
        )
    private var nextArrival = 0

    /** Runs the simulation and returns its measurements. */
    public fun run(): RunResult {
        while (eventQueue.now < durationMillis) {
            arrive()
            eventQueue.runDueEvents()
            serveAndWork()
            if (eventQueue.now % HEARTBEAT_MILLIS == 0L) fleet.hosts.forEach { it.report(eventQueue.now) }
            if (eventQueue.now % WINDOW_MILLIS == 0L) measure()
            place()
            eventQueue.now += STEP_MILLIS
        }
        return result
    }

    private fun arrive() {
        while (workload.arrivals.getOrNull(nextArrival)?.let { it.atMillis <= eventQueue.now } == true) {
            fleet.arrive(workload.arrivals[nextArrival++])
        }
        if (scenario == Scenario.FAILURE_DOMAIN && eventQueue.now == durationMillis / PHASES) {
            fleet.hosts.filterNot(::isInService).forEach { host -> host.tasks.toList().forEach(fleet::evict) }
        }
    }

    private fun isInService(host: SimulatedHost): Boolean {
        val isOutage = eventQueue.now >= durationMillis / PHASES && eventQueue.now < durationMillis * 2 / PHASES
        val isAffected = host.failureDomain.value == deployment.failureDomains.first()
        return !(scenario == Scenario.FAILURE_DOMAIN && isOutage && isAffected)
    }

    private fun serveAndWork() {
        val now = eventQueue.now
        fleet.hosts.forEach { it.updateSlowdown(workload.quickUtilization(now)) }
        requests.serve(fleet.hosts.filter(::isInService), now, STEP_MILLIS, result.latencyMicros)
        fleet.hosts.forEach { host ->
            result.addWork(now, host.runTasks(now, STEP_MILLIS))
            host.tasks.filter { it.isDone }.forEach { fleet.finish(host, it) }
        }
        val inService = fleet.hosts.count(::isInService)
        result.addAttainableWork(now, attainableCores(inService) * STEP_MILLIS)
        result.addLimitCapacity(now, inService * deployment.usable.milliCores / MILLI * STEP_MILLIS)
    }

    /** Cores that an ideal schedule of whole tasks without interference would use, excluding the standing tasks. */
    private fun attainableCores(inService: Int): Double {
        val perHost = deployment.usable.milliCores - deployment.standing.need.milliCores
        val tasksPerHost = perHost / deployment.steady.need.milliCores
        return inService * tasksPerHost * deployment.steady.need.milliCores / MILLI
    }

    private fun place() {
        val round =
            PlacementRound(
                waiting = fleet.waiting().asSequence().map { it.view },
                hosts = fleet.hosts.filter(::isInService).map { it.view() },
                now = Timestamp(eventQueue.now),
                maximum = PLACEMENTS_MAXIMUM,
            )
        placement.place(round).forEach(fleet::assign)
    }

    private fun measure() {
        fleet.hosts.mapNotNull { it.closeWindow(eventQueue.now) }.forEach { observation ->
            eventQueue.schedule(MEASUREMENT_LAG_MILLIS) { if (policy.controlsColocation) control(observation) }
        }
    }

    private fun control(observation: HostObservation) {
        val action = models.colocation.decide(observation, Timestamp(eventQueue.now)) ?: return
        eventQueue.scheduleWithNextGrant { execute(action) }
    }

    private fun execute(action: ColocationAction) {
        models.colocation.tookEffect(action, Timestamp(eventQueue.now))
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
private const val PHASES = 3
private const val STEP_MILLIS = 100L

/** Length of the window in which a percentile is measured, and the time until the owner receives it. */
private const val WINDOW_MILLIS = 2_000L
private const val MEASUREMENT_LAG_MILLIS = 1_000L
private const val PLACEMENTS_MAXIMUM = 1_000
