/*
 * The hosts and tasks of a run, and the events that take time: starts, checkpoints and evictions.
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

/** The current time of a run and its scheduled events. */
internal class EventQueue(
    private val random: Random,
) {
    private val events = PriorityQueue<Event>(compareBy<Event> { it.atMillis }.thenBy { it.number })
    private var issuedNumbers = 0L

    var now = 0L

    private class Event(
        val atMillis: Long,
        val number: Long,
        val run: () -> Unit,
    )

    /** Returns a number that increases with each call, as the offsets of records do. */
    fun nextNumber(): Long = issuedNumbers++

    fun schedule(
        delayMillis: Long,
        run: () -> Unit,
    ) {
        events.add(Event(now + delayMillis, nextNumber(), run))
    }

    /** Schedules [run] for the next grant of a host. */
    fun scheduleWithNextGrant(run: () -> Unit) = schedule(random.nextLong(HEARTBEAT_MILLIS), run)

    fun runDueEvents() {
        while (events.isNotEmpty() && events.peek().atMillis <= now) events.poll().run()
    }
}

/** Settings of all hosts of a run. */
internal data class RunSettings(
    val deployment: Deployment,
    /** True if colocation is controlled. */
    val controlsColocation: Boolean,
    /** Multiplies the slowdown of services by batch work. */
    val interference: Double,
)

/** The hosts and tasks of a run. [isInService] returns true if the failure domain of a host is in service. */
internal class SimulatedFleet(
    private val settings: RunSettings,
    private val models: PlacementModels,
    private val eventQueue: EventQueue,
    private val result: RunResult,
    private val isInService: (SimulatedHost) -> Boolean,
) {
    private val now: Long
        get() = eventQueue.now

    val hosts = List(Deployment.HOSTS) { SimulatedHost(it, settings.deployment, settings.interference) }
    val tasks = LinkedHashMap<TaskId, SimulatedTask>()
    private val hostsById = hosts.associateBy { it.id }

    fun waiting(): List<SimulatedTask> = tasks.values.filter { it.attempt == null }.sortedBy { it.view.phaseSince }

    fun arrive(arrival: Arrival) {
        tasks[arrival.specification.taskId] = SimulatedTask(arrival, eventQueue.nextNumber())
    }

    fun assign(choice: Placement) {
        val task = tasks.getValue(choice.taskId)
        val host = hostsById.getValue(choice.host)
        check(choice.limit.fitsIn(host.free)) { "the limit exceeds the free capacity of ${host.id}" }
        task.assign(choice.host, eventQueue.nextNumber(), choice.limit)
        host.tasks.add(task)
        eventQueue.scheduleWithNextGrant { start(task, host) }
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

    /** Takes a checkpoint of [task] and stops it. */
    fun evict(task: SimulatedTask) {
        val attempt = task.attempt ?: return
        task.isEvicting = true
        eventQueue.schedule(CHECKPOINT_MILLIS) { if (task.attempt == attempt) release(task, keepsProgress = true) }
    }

    private fun start(
        task: SimulatedTask,
        host: SimulatedHost,
    ) {
        val attempt = task.attempt?.takeIf { it.host == host.id && task in host.tasks } ?: return
        host.report(now)
        val deadline = Timestamp(now + START_PERMISSION_MILLIS)
        val request = StartRequest(Epoch(1), task.arrival.specification.taskId, attempt.token, attempt.limit, deadline)
        if (!isInService(host) || !host.admits(request)) {
            result.refusedStarts++
            release(task, keepsProgress = true)
            return
        }
        task.progressFromMillis = now + START_MILLIS
        if (settings.controlsColocation) throttleAtStart(task, host)
        if (task.exceedsLimit) {
            eventQueue.schedule(LIMIT_EXCEEDED_MILLIS) {
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
        task.release(eventQueue.nextNumber(), keepsProgress, exceeded)
        host.report(now)
    }
}

/** Time between the heartbeats of a host. Grants are sent with the answers to heartbeats. */
internal const val HEARTBEAT_MILLIS = 1_000L
private const val START_PERMISSION_MILLIS = 3_000L

/** Time that a started task takes to load its checkpoint, and that an evicted task takes to write it. */
private const val START_MILLIS = 3_000L
private const val CHECKPOINT_MILLIS = 1_000L

/** Time after which a task exceeds a memory limit that is too small. */
private const val LIMIT_EXCEEDED_MILLIS = 10_000L
