/*
 * Updates the models of sizes, run times and worker health from the attempts that agents report. Agents repeat events
 * until the end of an attempt is recorded; each attempt updates the models once.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind

/** Resource usage of one attempt in a heartbeat. */
public data class AttemptUsage(
    val token: FencingToken,
    val kind: WorkKind,
    val usage: Resources,
)

/** Updates [models]. Times are readings of the owner's clock. */
public class AttemptObserver(
    private val models: PlacementModels,
) {
    private val running = LinkedHashMap<FencingToken, ObservedAttempt>()
    private val ended = LinkedHashSet<FencingToken>()

    /** Handles [usages], which a heartbeat reported at [now]. */
    public fun reported(
        usages: List<AttemptUsage>,
        now: Timestamp,
    ) {
        usages.filter { it.token !in ended }.forEach { report ->
            val known = running[report.token]
            running[report.token] = known?.withUsage(report.usage) ?: ObservedAttempt(report.kind, report.usage, now)
        }
        dropOldest(running.keys)
    }

    /** Handles [change] of the attempt [token] of [taskId] on [host]. */
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
        while (tokens.size > ATTEMPTS_MAXIMUM) {
            tokens.remove(tokens.first())
        }
    }

    private data class ObservedAttempt(
        val kind: WorkKind,
        val peak: Resources,
        val since: Timestamp,
    ) {
        fun withUsage(usage: Resources): ObservedAttempt =
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
        /** Twice the number of attempts that run in one partition at the target size. */
        private const val ATTEMPTS_MAXIMUM = 32_000
    }
}
