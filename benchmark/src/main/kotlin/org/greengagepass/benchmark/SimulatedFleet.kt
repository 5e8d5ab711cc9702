/*
 * The hosts and tasks of a run, and the events that take time: starts, checkpoints, evictions.
 */
package org.greengagepass.benchmark

import org.greengagepass.core.Epoch
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.Placement
import org.greengagepass.core.process.PlacementModels
import org.greengagepass.core.process.StartRequest
import java.util.PriorityQueue
import kotlin.random.Random

/** Time of a run and what is to happen later in it. */
internal class Agenda(
    private val random: Random,
) {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private var numbers = 0L

    var now = 0L

    private class Event(
        val atMillis: Long,
        val number: Long,
        val run: () -> Unit,
    )

    /** Grows with each call, as the positions of records do. */
    fun nextNumber(): Long = numbers++

    fun later(
        delayMillis: Long,
        run: () -> Unit,
    ) {
        events.add(Event(now + delayMillis, nextNumber(), run))
    }

    /** Runs [run] with the next grant of a host. */
    fun withNextGrant(run: () -> Unit) = later(random.nextLong(HEARTBEAT_MILLIS), run)

    fun runDue() {
        while (events.isNotEmpty() && events.peek().atMillis <= now) events.poll().run()
    }
}

/** What all hosts of a run share. */
internal data class RunSettings(
    val deployment: Deployment,
    /** True if colocation is controlled. */
    val controls: Boolean,
    /** Multiplies the slowdown of services by batch work. */
    val interference: Double,
)

/** Hosts and tasks. [isIn] tells whether a host's failure domain is in service. */
internal class SimulatedFleet(
    private val settings: RunSettings,
    private val models: PlacementModels,
    private val agenda: Agenda,
    private val result: RunResult,
    private val isIn: (SimulatedHost) -> Boolean,
) {
    private val now: Long
        get() = agenda.now

    val hosts = List(Deployment.HOSTS) { SimulatedHost(it, settings.deployment, settings.interference) }
    val tasks = LinkedHashMap<TaskId, SimulatedTask>()
    private val hostsById = hosts.associateBy { it.id }

    fun waiting(): List<SimulatedTask> = tasks.values.filter { it.attempt == null }.sortedBy { it.view.phaseSince }

    fun arrive(arrival: Arrival) {
        tasks[arrival.specification.taskId] = SimulatedTask(arrival, agenda.nextNumber())
    }

    fun assign(choice: Placement) {
        val task = tasks.getValue(choice.taskId)
        val host = hostsById.getValue(choice.host)
        check(choice.limit.fitsIn(host.free)) { "placement beyond what ${host.id} has free" }
        task.assign(choice.host, agenda.nextNumber(), choice.limit)
        host.tasks.add(task)
        agenda.withNextGrant { start(task, host) }
    }

    fun finish(
        host: SimulatedHost,
        task: SimulatedTask,
    ) {
        val specification = task.arrival.specification
        host.tasks.remove(task)
        tasks.remove(specification.taskId)
        result.finishedTasks++
        models.sizes.observe(specification.kind, task.arrival.kind.need, runMillis = null)
        models.health.ran(host.id, specification.taskId, Timestamp(now))
        host.report(now)
    }

    /** Checkpoints [task] and stops it. */
    fun evict(task: SimulatedTask) {
        val attempt = task.attempt ?: return
        task.isEvicting = true
        agenda.later(CHECKPOINT_MILLIS) { if (task.attempt == attempt) release(task, keepsProgress = true) }
    }

    private fun start(
        task: SimulatedTask,
        host: SimulatedHost,
    ) {
        val attempt = task.attempt?.takeIf { it.host == host.id && task in host.tasks } ?: return
        host.report(now)
        val deadline = Timestamp(now + START_PERMISSION_MILLIS)
        val request = StartRequest(Epoch(1), task.arrival.specification.taskId, attempt.token, attempt.limit, deadline)
        if (!isIn(host) || !host.admits(request)) {
            result.refusedStarts++
            release(task, keepsProgress = true)
            return
        }
        task.progressFromMillis = now + START_MILLIS
        if (settings.controls) throttleAtStart(task, host)
        if (task.exceedsLimit) {
            agenda.later(LIMIT_MILLIS) {
                if (task.attempt == attempt) release(task, keepsProgress = false, exceeded = attempt.limit)
            }
        }
    }

    private fun throttleAtStart(
        task: SimulatedTask,
        host: SimulatedHost,
    ) {
        val colocated = task.colocated(settings.deployment.host.milliCores)
        val throttle = models.colocation.starting(host.id, colocated, Timestamp(now)) ?: return
        task.permille = throttle.permille
        result.throttles++
        models.colocation.tookEffect(throttle, Timestamp(now))
    }

    private fun release(
        task: SimulatedTask,
        keepsProgress: Boolean,
        exceeded: Resources? = null,
    ) {
        val host = hostsById[task.attempt?.host] ?: return
        host.tasks.remove(task)
        task.release(agenda.nextNumber(), keepsProgress, exceeded)
        host.report(now)
    }
}

/** Time between the heartbeats of a host; grants go out with their answers. */
internal const val HEARTBEAT_MILLIS = 1_000L
private const val START_PERMISSION_MILLIS = 3_000L

/** Time that a started task needs to load its checkpoint, and an evicted one to write it. */
private const val START_MILLIS = 3_000L
private const val CHECKPOINT_MILLIS = 1_000L

/** Time after which a task needs more memory than a limit that is too small. */
private const val LIMIT_MILLIS = 10_000L
