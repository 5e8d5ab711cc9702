/*
 * A host of the model: request slots, tasks, and the contention between them.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.HostAdmission
import org.greengagepass.core.process.HostObservation
import org.greengagepass.core.process.HostView
import org.greengagepass.core.process.ReportedAttempt
import org.greengagepass.core.process.ServiceObservation
import org.greengagepass.core.process.StartRequest
import org.greengagepass.core.process.WorkerSnapshot

/** Core milliseconds that tasks [used], and the limits that they [held] meanwhile, less what throttles took. */
public data class WorkDone(
    val used: Double = 0.0,
    val held: Double = 0.0,
)

/** One host. Time is in milliseconds from the start of the run. */
public class SimulatedHost(
    index: Int,
    private val deployment: Deployment,
    private val interference: Double,
) {
    public val id: HostId = HostId("host-$index")
    public val failureDomain: FailureDomainName =
        FailureDomainName(deployment.failureDomains[index % deployment.failureDomains.size])
    private val rack = RackName("rack-${index / (deployment.failureDomains.size * Deployment.HOSTS_PER_RACK)}")
    private val slotFreeAt = DoubleArray(Deployment.SLOTS)
    private val admission = HostAdmission(deployment.reserve)
    private var window = ArrayList<Double>()
    private var windowStart = 0L
    private var busyMillis = 0.0
    private var movingLatency = deployment.medianMillis

    /** Tasks that are assigned to the host, started or not. */
    public val tasks: LinkedHashSet<SimulatedTask> = LinkedHashSet()

    /** Factor by which quick requests take longer. */
    public var slowdown: Double = 1.0
        private set

    private val running: List<SimulatedTask>
        get() = tasks.filter { it.progressFromMillis != null }

    /** What is left for tasks. */
    public val free: Resources
        get() = tasks.fold(deployment.usable) { left, task -> left - (task.attempt?.limit ?: Resources.NONE) }

    /** The host as placement sees it. */
    public fun view(): HostView = HostView(id, failureDomain, rack, deployment.host, free, tasks.map { it.view })

    /** Tells the agent what the worker runs. */
    public fun report(nowMillis: Long) {
        val attempts =
            running.mapNotNull { task ->
                task.attempt?.let { ReportedAttempt(task.arrival.specification.taskId, it.token, it.limit, true) }
            }
        admission.apply(WorkerSnapshot(Timestamp(nowMillis), deployment.host, attempts))
    }

    /** Asks the agent to start the attempt; returns false if it is refused. */
    public fun admits(request: StartRequest): Boolean = admission.admit(request).isRight()

    /** Works out the contention for the coming step. */
    public fun updateSlowdown(quickUtilization: Double) {
        val perLoad = HALF + quickUtilization
        slowdown = 1.0 + running.sumOf { share(it) * it.arrival.kind.slowsService } * perLoad * interference
    }

    /** Lets the tasks run for [stepMillis] and tells the core milliseconds that they used and held. */
    public fun runTasks(
        nowMillis: Long,
        stepMillis: Long,
    ): WorkDone {
        val contention = running.sumOf { share(it) * it.arrival.kind.slowsBatch }
        return running
            .filter { nowMillis >= (it.progressFromMillis ?: Long.MAX_VALUE) && !it.isEvicting }
            .fold(WorkDone()) { sum, task ->
                val own = share(task) * task.arrival.kind.slowsBatch
                val work = task.usedMilliCores / MILLI * stepMillis / (1.0 + contention - own)
                task.progress(nowMillis, work)
                val held = (task.attempt?.limit?.milliCores ?: 0) / MILLI * task.permille / MILLI * stepMillis
                WorkDone(sum.used + work, sum.held + held)
            }
    }

    /** Expected wait of a request: moving latency times queue. */
    public fun expectedWait(nowMillis: Double): Double = movingLatency * (1 + slotFreeAt.count { it > nowMillis })

    /** Serves a request that arrives [atMillis] and takes [workMillis] without neighbours; returns its latency. */
    public fun serve(
        atMillis: Double,
        workMillis: Double,
    ): Double {
        val slot = slotFreeAt.indices.minBy { slotFreeAt[it] }
        val taken = workMillis * slowdown
        val end = maxOf(slotFreeAt[slot], atMillis) + taken
        slotFreeAt[slot] = end
        busyMillis += taken
        val latency = end - atMillis
        movingLatency += (latency - movingLatency) * LATENCY_WEIGHT
        window.add(latency)
        return latency
    }

    /** Closes the measuring window at [nowMillis]. */
    public fun closeWindow(nowMillis: Long): HostObservation? {
        val sorted = window.sorted()
        val start = windowStart
        val slotMillis = (nowMillis - start) * Deployment.SLOTS.toDouble()
        val utilization = (busyMillis / slotMillis).coerceAtMost(1.0)
        window = ArrayList()
        windowStart = nowMillis
        busyMillis = 0.0
        if (sorted.isEmpty()) return null
        val latency = sorted[(sorted.size * PERCENTILE).toInt().coerceAtMost(sorted.size - 1)]
        val service = ServiceObservation(WorkKind(deployment.quick), latency, utilization, deployment.objectiveMillis)
        val colocated = running.map { it.colocated(deployment.host.milliCores) }
        return HostObservation(id, Timestamp(start), Timestamp(nowMillis), listOf(service), colocated)
    }

    private fun share(task: SimulatedTask): Double = task.usedMilliCores / deployment.host.milliCores
}

private const val HALF = 0.5
private const val MILLI = 1_000.0
private const val PERCENTILE = 0.99
private const val LATENCY_WEIGHT = 0.05
