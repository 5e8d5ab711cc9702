/*
 * Learns sizes, run times and the health of workers from what agents report of attempts. Agents repeat events until
 * their end is recorded; an attempt is learnt from once.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind

/** Usage of one attempt as a heartbeat reports it. */
public data class AttemptUsage(
    val token: FencingToken,
    val kind: WorkKind,
    val usage: Resources,
)

/** Feeds [models]. Times are readings of the owner's clock. */
public class AttemptObserver(
    private val models: PlacementModels,
) {
    private val running = LinkedHashMap<FencingToken, Observed>()
    private val ended = LinkedHashSet<FencingToken>()

    /** A heartbeat reported [usages] at [now]. */
    public fun reported(
        usages: List<AttemptUsage>,
        now: Timestamp,
    ) {
        usages.filter { it.token !in ended }.forEach { report ->
            val known = running[report.token]
            running[report.token] = known?.withUsage(report.usage) ?: Observed(report.kind, report.usage, now)
        }
        dropOldest(running.keys)
    }

    /** The attempt [token] of [taskId] on [host] had [change]. */
    public fun changed(
        host: HostId,
        taskId: TaskId,
        token: FencingToken,
        change: AttemptChange,
        now: Timestamp,
    ) {
        when (change) {
            is AttemptChange.Started, is AttemptChange.Refused -> Unit
            is AttemptChange.Checkpointed -> models.health.ran(host, taskId, now)
            is AttemptChange.Finished -> if (isFirstEnd(token)) finished(host, taskId, token, now)
            is AttemptChange.Stopped -> if (isFirstEnd(token)) stopped(host, taskId, token, change.reason, now)
        }
    }

    private fun isFirstEnd(token: FencingToken): Boolean = ended.add(token).also { dropOldest(ended) }

    private fun finished(
        host: HostId,
        taskId: TaskId,
        token: FencingToken,
        now: Timestamp,
    ) {
        models.health.ran(host, taskId, now)
        val observed = running.remove(token) ?: return
        models.sizes.observe(observed.kind, observed.peak, now.millisSince(observed.since))
    }

    private fun stopped(
        host: HostId,
        taskId: TaskId,
        token: FencingToken,
        reason: ReleaseReason,
        now: Timestamp,
    ) {
        if (reason == ReleaseReason.FAILED) {
            models.health.failed(host, taskId, now)
        }
        val observed = running.remove(token) ?: return
        models.sizes.observe(observed.kind, observed.peak, runMillis = null)
    }

    private fun dropOldest(tokens: MutableSet<FencingToken>) {
        while (tokens.size > ATTEMPTS_REMEMBERED) {
            tokens.remove(tokens.first())
        }
    }

    private data class Observed(
        val kind: WorkKind,
        val peak: Resources,
        val since: Timestamp,
    ) {
        fun withUsage(usage: Resources): Observed =
            copy(
                peak =
                    Resources(
                        milliCores = maxOf(peak.milliCores, usage.milliCores),
                        memoryMegabytes = maxOf(peak.memoryMegabytes, usage.memoryMegabytes),
                        accelerators = maxOf(peak.accelerators, usage.accelerators),
                    ),
            )
    }

    private companion object {
        /** Twice the attempts that run in one partition at the target size. */
        private const val ATTEMPTS_REMEMBERED = 32_000
    }
}
