/*
 * Keeps batch work from slowing the services beside it. While a service is over its objective, the worst suspected
 * task is throttled; if evidence measured after that still shows the excess, the task with the least lost work is
 * checkpointed and evicted. Measurements lag, so nothing measured before the last action took effect counts.
 */
package org.greengagepass.core.process

import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import kotlin.math.ln

/** A task beside services. */
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

/** Latency of a service in a window, as the percentile that its objective is about. */
public data class ServiceObservation(
    val service: WorkKind,
    val latencyMillis: Double,
    val utilization: Double,
    val objectiveMillis: Long,
)

/** What was measured on a host in the window from [windowStart] to [windowEnd], by the owner's clock. */
public data class HostObservation(
    val host: HostId,
    val windowStart: Timestamp,
    val windowEnd: Timestamp,
    val services: List<ServiceObservation>,
    val tasks: List<ColocatedTask>,
)

/** What to do with a task. */
public sealed class ColocationAction {
    /** Host of the task. */
    public abstract val host: HostId

    /** The task. */
    public abstract val taskId: TaskId

    /** Let the task use [permille] of its processor limit. */
    public data class Throttle(
        override val host: HostId,
        override val taskId: TaskId,
        val permille: Int,
    ) : ColocationAction()

    /** Let the task use its whole limit again. */
    public data class Release(
        override val host: HostId,
        override val taskId: TaskId,
    ) : ColocationAction()

    /** Checkpoint the task, stop it and place it elsewhere. */
    public data class Evict(
        override val host: HostId,
        override val taskId: TaskId,
    ) : ColocationAction()
}

/** Decides on one action at a time for each host. */
public class ColocationController(
    model: InterferenceModel = InterferenceModel(),
) {
    private val hosts = HashMap<HostId, HostControl>()
    private val relief = InterferenceRelief(model)

    /** True while [host] is over an objective or an action on it is under way; placement avoids it then. */
    public fun isUnderPressure(host: HostId): Boolean = hosts[host]?.let { it.excess > 0 || it.hasPending } == true

    /** [action] took effect [at] a moment of the owner's clock. Only evidence measured from then on counts. */
    public fun tookEffect(
        action: ColocationAction,
        at: Timestamp,
    ) {
        hosts[action.host]?.tookEffect(action, at)
    }

    /** Thousandths of its limit that [task] could use on [host] if it started now; all if that is not known. */
    public fun startingPermille(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ): Int {
        val control = hosts[host]
        val last = control?.last?.takeIf { task.throttleable }
        if (control == null || last == null) return FULL_PERMILLE
        return relief.startingPermille(task, last, control.expectedSlowdown(task.taskId, now))
    }

    /** [task] was placed on [host]; what it is expected to cost counts before it shows in observations. */
    public fun placed(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ) {
        val control = hosts[host]
        val slowdown = control?.last?.let { relief.expectedSlowdown(task, it) } ?: return
        control.expect(task.taskId, slowdown, now)
    }

    /**
     * Decides whether [task], which is about to start on [host], starts throttled: it does if the model is sure that
     * its kind would put a service over the objective.
     */
    public fun starting(
        host: HostId,
        task: ColocatedTask,
        now: Timestamp,
    ): ColocationAction.Throttle? =
        ColocationAction
            .Throttle(host, task.taskId, startingPermille(host, task, now))
            .takeIf { it.permille < FULL_PERMILLE }
            ?.also { hosts[host]?.began(it, now) }

    /** Takes [observation] into account and decides on at most one action. */
    public fun decide(
        observation: HostObservation,
        now: Timestamp,
    ): ColocationAction? {
        val control = hosts.getOrPut(observation.host) { HostControl() }
        control.giveUpPending(now)
        if (control.hasPending || observation.windowStart < control.evidenceFrom) return null
        control.evidenceFrom = observation.windowEnd
        control.last = relief.smoothed(observation, control.last)
        control.forgetGone(observation.tasks)
        relief.learn(observation)
        val action =
            when (levelOf(observation)) {
                Level.EXCESS -> relieve(control.also { it.countExcess() }, observation)
                Level.CALM -> release(control.also { it.countCalm() }, observation)
                Level.BETWEEN -> null.also { control.countBetween() }
            }
        action?.let { control.began(it, now) }
        return action
    }

    private fun levelOf(observation: HostObservation): Level =
        when {
            observation.services.any { it.latencyMillis > it.objectiveMillis } -> Level.EXCESS
            observation.services.all { it.latencyMillis < it.objectiveMillis * RELEASE_FRACTION } -> Level.CALM
            else -> Level.BETWEEN
        }

    /** Throttles the worst suspect; if the excess lasts, evicts the suspect with the least lost work, and so on. */
    private fun relieve(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        if (control.excess < EXCESS_WINDOWS) return null
        val suspects = relief.suspects(observation)
        val throttled =
            suspects
                .firstOrNull { it.throttleable && it.taskId !in control.throttled }
                ?.let { ColocationAction.Throttle(observation.host, it.taskId, relief.permille(it, observation)) }
        val evicted =
            suspects
                .filter { it.evictable }
                .minByOrNull { it.lostWorkCoreMillis }
                ?.let { ColocationAction.Evict(observation.host, it.taskId) }
        return if (control.evictsNext) evicted ?: throttled else throttled ?: evicted
    }

    /** Gives the task that was throttled last as much as the model expects the objective to permit. */
    private fun release(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        val throttled =
            control.throttled.entries
                .lastOrNull()
                ?.takeIf { control.calm >= CALM_WINDOWS }
        val task = observation.tasks.find { it.taskId == throttled?.key }
        return if (throttled == null || task == null) null else release(task, throttled.value, observation)
    }

    private fun release(
        task: ColocatedTask,
        current: Int,
        observation: HostObservation,
    ): ColocationAction? {
        val permitted = relief.permittedPermille(task, current, observation)
        return when {
            permitted >= FULL_PERMILLE -> ColocationAction.Release(observation.host, task.taskId)
            permitted >= current + RAISE_PERMILLE -> ColocationAction.Throttle(observation.host, task.taskId, permitted)
            else -> null
        }
    }

    private enum class Level { EXCESS, BETWEEN, CALM }

    public companion object {
        /** Part of its processor limit that a task may use after a throttle without better knowledge. */
        public const val THROTTLE_PERMILLE: Int = 250

        /** Part of the objective below which throttled tasks are released. */
        public const val RELEASE_FRACTION: Double = 0.7

        /** Windows in a row over the objective before an action: a single one is often an outlier. */
        public const val EXCESS_WINDOWS: Int = 2

        /** Windows in a row below the release fraction before a release. */
        public const val CALM_WINDOWS: Int = 5

        /** Time after which an action without confirmation counts as lost. */
        public const val ACTION_TIMEOUT_MILLIS: Long = 15_000
    }
}

/** A raise by less than this is not worth a message and a wait for new evidence. */
private const val RAISE_PERMILLE = 200
