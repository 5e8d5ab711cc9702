/*
 * A simulated host: request slots, tasks, and the contention between them.
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

/** Core milliseconds that tasks [used], and their processor limits less throttling over the same time. */
public data class WorkDone(
    val used: Double = 0.0,
    val allocated: Double = 0.0,
)

/** A simulated host. Times are in milliseconds from the start of the run. */
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
    private var averageLatency = deployment.medianMillis

    /** Tasks that are assigned to the host, started or not. */
    public val tasks: LinkedHashSet<SimulatedTask> = LinkedHashSet()

    /** Factor by which tasks slow down quick requests. */
    public var slowdown: Double = 1.0
        private set

    private val running: List<SimulatedTask>
        get() = tasks.filter { it.progressFromMillis != null }

    /** Free capacity for tasks. */
    public val free: Resources
        get() = tasks.fold(deployment.usable) { remaining, task -> remaining - (task.attempt?.limit ?: Resources.NONE) }

    /** Returns the host as placement sees it. */
    public fun view(): HostView = HostView(id, failureDomain, rack, deployment.host, free, tasks.map { it.view })

    /** Reports the running attempts to the admission of the agent. */
    public fun report(nowMillis: Long) {
        val attempts =
            running.mapNotNull { task ->
                task.attempt?.let { ReportedAttempt(task.arrival.specification.taskId, it.token, it.limit, true) }
            }
        admission.apply(WorkerSnapshot(Timestamp(nowMillis), deployment.host, attempts))
    }

    /** Requests the start of an attempt. Returns false if the agent refuses it. */
    public fun admits(request: StartRequest): Boolean = admission.admit(request).isRight()

    /** Computes the slowdown of quick requests in the next step. */
    public fun updateSlowdown(quickUtilization: Double) {
        val loadFactor = HALF + quickUtilization
        slowdown = 1.0 + running.sumOf { coreShare(it) * it.arrival.kind.serviceSlowdown } * loadFactor * interference
    }

    /** Runs the tasks for [stepMillis] and returns the work that they did. */
    public fun runTasks(
        nowMillis: Long,
        stepMillis: Long,
    ): WorkDone {
        val contention = running.sumOf { coreShare(it) * it.arrival.kind.batchSlowdown }
        return running
            .filter { nowMillis >= (it.progressFromMillis ?: Long.MAX_VALUE) && !it.isEvicting }
            .fold(WorkDone()) { sum, task ->
                val own = coreShare(task) * task.arrival.kind.batchSlowdown
                val work = task.usedMilliCores / MILLI * stepMillis / (1.0 + contention - own)
                task.addProgress(nowMillis, work)
                val allocated = (task.attempt?.limit?.milliCores ?: 0) / MILLI * task.permille / MILLI * stepMillis
                WorkDone(sum.used + work, sum.allocated + allocated)
            }
    }

    /** Returns the expected wait of a request: average latency times queue length. */
    public fun expectedWait(nowMillis: Double): Double = averageLatency * (1 + slotFreeAt.count { it > nowMillis })

    /** Serves a request that arrives [atMillis] and takes [workMillis] on a host without tasks. Returns its latency. */
    public fun serve(
        atMillis: Double,
        workMillis: Double,
    ): Double {
        val slot = slotFreeAt.indices.minBy { slotFreeAt[it] }
        val serviceMillis = workMillis * slowdown
        val end = maxOf(slotFreeAt[slot], atMillis) + serviceMillis
        slotFreeAt[slot] = end
        busyMillis += serviceMillis
        val latency = end - atMillis
        averageLatency += (latency - averageLatency) * LATENCY_AVERAGE_WEIGHT
        window.add(latency)
        return latency
    }

    /** Ends the measurement window at [nowMillis] and returns its observation, or null if it had no requests. */
    public fun closeWindow(nowMillis: Long): HostObservation? {
        val sorted = window.sorted()
        val start = windowStart
        val slotMillis = (nowMillis - start) * Deployment.SLOTS.toDouble()
        val utilization = (busyMillis / slotMillis).coerceAtMost(1.0)
        window = ArrayList()
        windowStart = nowMillis
        busyMillis = 0.0
        if (sorted.isEmpty()) return null
        val latency = sorted[(sorted.size * LATENCY_PERCENTILE).toInt().coerceAtMost(sorted.size - 1)]
        val service =
            ServiceObservation(WorkKind(deployment.quickOperation), latency, utilization, deployment.objectiveMillis)
        val colocated = running.map { it.colocated(deployment.host.milliCores) }
        return HostObservation(id, Timestamp(start), Timestamp(nowMillis), listOf(service), colocated)
    }

    private fun coreShare(task: SimulatedTask): Double = task.usedMilliCores / deployment.host.milliCores
}

private const val HALF = 0.5
private const val MILLI = 1_000.0
private const val LATENCY_PERCENTILE = 0.99
private const val LATENCY_AVERAGE_WEIGHT = 0.05
