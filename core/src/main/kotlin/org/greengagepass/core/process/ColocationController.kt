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
    private val model: InterferenceModel = InterferenceModel(),
) {
    private val hosts = HashMap<HostId, HostControl>()

    /** True while [host] is over an objective or an action on it is under way; placement avoids it then. */
    public fun isUnderPressure(host: HostId): Boolean = hosts[host]?.let { it.excess > 0 || it.pending != null } == true

    /** [action] took effect [at] a moment of the owner's clock. Only evidence measured from then on counts. */
    public fun tookEffect(
        action: ColocationAction,
        at: Timestamp,
    ) {
        val control = hosts[action.host] ?: return
        if (control.lastAction != action) return
        control.pending = null
        control.evidenceFrom = maxOf(control.evidenceFrom, at)
    }

    /** Takes [observation] into account and decides on at most one action. */
    public fun decide(
        observation: HostObservation,
        now: Timestamp,
    ): ColocationAction? {
        val control = hosts.getOrPut(observation.host) { HostControl() }
        control.forgetGone(observation.tasks)
        control.giveUpPending(now)
        if (control.pending != null || observation.windowStart < control.evidenceFrom) return null
        control.evidenceFrom = observation.windowEnd
        learn(observation)
        val action =
            when (levelOf(observation)) {
                Level.EXCESS -> relieve(control.also { it.countExcess() }, observation)
                Level.CALM -> release(control.also { it.countCalm() }, observation)
                Level.BETWEEN -> null.also { control.countBetween() }
            }
        action?.let { control.began(it, now) }
        return action
    }

    private fun learn(observation: HostObservation) {
        val shares =
            observation.tasks
                .groupBy { it.kind }
                .mapValues { (_, tasks) -> tasks.sumOf { it.coreShare } }
        observation.services.forEach { service ->
            model.learn(
                SlowdownSample(
                    service = service.service,
                    latencyMillis = service.latencyMillis,
                    utilization = service.utilization,
                    coreShares = shares,
                    measuredAt = observation.windowEnd,
                ),
            )
        }
    }

    private fun levelOf(observation: HostObservation): Level =
        when {
            observation.services.any { it.latencyMillis > it.objectiveMillis } -> Level.EXCESS
            observation.services.all { it.latencyMillis < it.objectiveMillis * RELEASE_FRACTION } -> Level.CALM
            else -> Level.BETWEEN
        }

    private fun relieve(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        if (control.excess < EXCESS_WINDOWS) return null
        val suspects = observation.tasks.filter { suspicion(it, observation) >= SUSPICION_MINIMUM }
        val throttled =
            suspects
                .filter { it.throttleable && it.taskId !in control.throttled }
                .maxByOrNull { suspicion(it, observation) }
                ?.let { ColocationAction.Throttle(observation.host, it.taskId, THROTTLE_PERMILLE) }
        val evicted =
            suspects
                .filter { it.evictable }
                .minByOrNull { it.lostWorkCoreMillis }
                ?.let { ColocationAction.Evict(observation.host, it.taskId) }
        return if (control.throttled.isEmpty()) throttled ?: evicted else evicted ?: throttled
    }

    /** Releases the task that was throttled last, unless the model expects the objective to be missed again. */
    private fun release(
        control: HostControl,
        observation: HostObservation,
    ): ColocationAction? {
        val throttled = control.throttled.lastOrNull()?.takeIf { control.calm >= CALM_WINDOWS }
        val task = observation.tasks.find { it.taskId == throttled } ?: return null
        val added = task.coreShare * (FULL_PERMILLE - THROTTLE_PERMILLE) / THROTTLE_PERMILLE
        val staysWithin =
            observation.services.all {
                it.latencyMillis * model.slowdown(it.service, task.kind, added).ratio < it.objectiveMillis
            }
        return if (staysWithin) ColocationAction.Release(observation.host, task.taskId) else null
    }

    /** Logarithm of the slowdown that [task] may cause, including one standard deviation of what is not known. */
    private fun suspicion(
        task: ColocatedTask,
        observation: HostObservation,
    ): Double =
        observation.services.maxOfOrNull {
            val slowdown = model.slowdown(it.service, task.kind, task.coreShare)
            ln(slowdown.ratio) + slowdown.uncertainty
        } ?: 0.0

    private enum class Level { EXCESS, BETWEEN, CALM }

    public companion object {
        /** Part of its processor limit that a throttled task may use. */
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

private const val FULL_PERMILLE = 1_000

/** Logarithm of a slowdown of about 2%, below which removing the task would not be noticed. */
private const val SUSPICION_MINIMUM = 0.02
