/*
 * Limits the interference of batch tasks with the services on the same host. While a service is over its objective,
 * the task with the highest estimated slowdown is throttled. If measurements after that still show an excess, the
 * suspect with the least lost work is checkpointed and evicted. Measurements lag, so those from before the last action
 * took effect are ignored.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import kotlin.math.ln

/** A task that shares a host with services. */
public data class ColocatedTask(
    val taskId: TaskId,
    val kind: WorkKind,
    /** Share of the host's cores that the task used in the window. */
    val coreShare: Double,
    val evictable: Boolean,
    val throttleable: Boolean,
    /** Work since the last checkpoint, in core milliseconds. */
    val lostWorkCoreMillis: Long,
)

/** Latency of a service in a window, at the percentile of its objective. */
public data class ServiceObservation(
    val service: WorkKind,
    val latencyMillis: Double,
    val utilization: Double,
    val objectiveMillis: Long,
)

/** Measurements of a host in the window from [windowStart] to [windowEnd], by the owner's clock. */
public data class HostObservation(
    val host: HostId,
    val windowStart: Timestamp,
    val windowEnd: Timestamp,
    val services: List<ServiceObservation>,
    val tasks: List<ColocatedTask>,
)

/** An action on a task. */
public sealed class ColocationAction {
    /** The host of the task. */
    public abstract val host: HostId

    /** The task. */
    public abstract val taskId: TaskId

    /** Limits the task to [permille] of its processor limit. */
    public data class Throttle(
        override val host: HostId,
        override val taskId: TaskId,
        val permille: Int,
    ) : ColocationAction()

    /** Removes the throttle, so that the task may use its whole limit. */
    public data class Release(
        override val host: HostId,
        override val taskId: TaskId,
    ) : ColocationAction()

    /** Checkpoints and stops the task, so that it is placed again. */
    public data class Evict(
        override val host: HostId,
        override val taskId: TaskId,
    ) : ColocationAction()
}

/** Decides on at most one action at a time for each host. */
public class ColocationController(
    model: InterferenceModel = InterferenceModel(),
) {
    private val hosts = HashMap<HostId, HostControl>()
    private val planner = ThrottlePlanner(model)

    /** True while [host] is over an objective or has a pending action; placement avoids such hosts. */
    public fun isUnderPressure(host: HostId): Boolean =
        hosts[host]?.let { it.windowsAbove > 0 || it.hasPending } == true

    /** Handles that [action] took effect [at] a reading of the owner's clock. Earlier measurements are ignored. */
    public fun tookEffect(
        action: ColocationAction,
        at: Timestamp,
    ) {
        hosts[action.host]?.tookEffect(action, at)
    }

    /** Thousandths of its limit that [task] could use on [host] if it started now; 1000 without an estimate. */
    public fun startingPermille(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ): Int {
        val control = hosts[host]
        val last = control?.lastObservation?.takeIf { task.throttleable }
        if (control == null || last == null) return FULL_PERMILLE
        return planner.startingPermille(task, last, control.expectedSlowdown(task.taskId, now))
    }

    /** Handles that [task] was placed on [host]: its expected slowdown counts before observations contain it. */
    public fun placed(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ) {
        val control = hosts[host]
        val slowdown = control?.lastObservation?.let { planner.expectedSlowdown(task, it) } ?: return
        control.expect(task.taskId, slowdown, now)
    }

    /**
     * Returns the throttle under which [task] starts on [host]; null if it may use its whole limit. A task starts
     * throttled if its kind would put a service over the objective by a statistically significant estimate.
     */
    public fun starting(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ): ColocationAction.Throttle? =
        ColocationAction
            .Throttle(host, task.taskId, startingPermille(host, task, now))
            .takeIf { it.permille < FULL_PERMILLE }
            ?.also { hosts[host]?.actionStarted(it, now) }

    /** Updates the model with [observation] and decides on at most one action. */
    public fun decide(
        observation: HostObservation,
        now: Timestamp,
    ): ColocationAction? {
        val control = hosts.getOrPut(observation.host) { HostControl() }
        control.expirePending(now)
        if (control.hasPending || observation.windowStart < control.measurementsValidFrom) return null
        control.measurementsValidFrom = observation.windowEnd
        control.lastObservation = planner.smoothed(observation, control.lastObservation)
        control.removeEnded(observation.tasks)
        planner.train(observation)
        val action =
            when (levelOf(observation)) {
                Level.EXCESS -> throttleOrEvict(control.also { it.countAbove() }, observation)
                Level.LOW -> releaseLastThrottled(control.also { it.countBelow() }, observation)
                Level.BETWEEN -> null.also { control.resetCounts() }
            }
        action?.let { control.actionStarted(it, now) }
        return action
    }

    private fun levelOf(observation: HostObservation): Level =
        when {
            observation.services.any { it.latencyMillis > it.objectiveMillis } -> Level.EXCESS
            observation.services.all { it.latencyMillis < it.objectiveMillis * RELEASE_FRACTION } -> Level.LOW
            else -> Level.BETWEEN
        }

    /** Throttles the worst suspect or evicts the suspect with the least lost work, in turn while the excess lasts. */
    private fun throttleOrEvict(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        if (control.windowsAbove < EXCESS_WINDOWS) return null
        val suspects = planner.suspects(observation)
        val throttled =
            suspects
                .firstOrNull { it.throttleable && it.taskId !in control.throttled }
                ?.let {
                    ColocationAction.Throttle(
                        observation.host,
                        it.taskId,
                        planner.throttlePermille(it, observation),
                    )
                }
        val evicted =
            suspects
                .filter { it.evictable }
                .minByOrNull { it.lostWorkCoreMillis }
                ?.let { ColocationAction.Evict(observation.host, it.taskId) }
        return if (control.evictsNext) evicted ?: throttled else throttled ?: evicted
    }

    /** Raises the limit of the task that was throttled last as far as the model permits. */
    private fun releaseLastThrottled(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        val throttled =
            control.throttled.entries
                .lastOrNull()
                ?.takeIf { control.windowsBelow >= LOW_WINDOWS }
        val task = observation.tasks.find { it.taskId == throttled?.key }
        return if (throttled == null || task == null) null else raiseLimit(task, throttled.value, observation)
    }

    private fun raiseLimit(
        task: ColocatedTask,
        current: Int,
        observation: HostObservation,
    ): ColocationAction? {
        val permitted = planner.permittedPermille(task, current, observation)
        return when {
            permitted >= FULL_PERMILLE -> ColocationAction.Release(observation.host, task.taskId)
            permitted >= current + RAISE_MINIMUM -> ColocationAction.Throttle(observation.host, task.taskId, permitted)
            else -> null
        }
    }

    private enum class Level { EXCESS, BETWEEN, LOW }

    public companion object {
        /** Share of its processor limit that a throttled task may use while the model has no estimate for it. */
        public const val THROTTLE_PERMILLE: Int = 250

        /** Fraction of the objective below which throttled tasks are released. */
        public const val RELEASE_FRACTION: Double = 0.7

        /** Consecutive windows over the objective before an action: a single one is often an outlier. */
        public const val EXCESS_WINDOWS: Int = 2

        /** Consecutive windows below the release fraction before a release. */
        public const val LOW_WINDOWS: Int = 5

        /** Time after which an action without a confirmation is treated as lost. */
        public const val ACTION_TIMEOUT_MILLIS: Long = 15_000
    }
}

/** A smaller raise does not justify a message and the wait for new measurements. */
private const val RAISE_MINIMUM = 200
