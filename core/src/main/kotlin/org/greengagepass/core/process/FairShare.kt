/*
 * Order in which teams are served: the lowest dominant share of the quota first. Recent starts count for a while in
 * addition to running tasks, so that a team whose tasks fail or are cancelled at once does not stay first.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Quota
import kotlin.math.pow

/** Shares of teams. [quotaOf] returns a team's quota, or null if it has none. */
public class FairShare(
    private val quotaOf: (TeamName) -> Quota?,
) {
    private val running = HashMap<TeamName, Resources>()
    private val charges = HashMap<TeamName, Charge>()
    private var fleetCapacity = Resources.NONE

    /** Sets the total capacity of the hosts, relative to which the share of a team without a quota is computed. */
    public fun setFleetCapacity(total: Resources) {
        fleetCapacity = total
    }

    /** Sets the running resources of all teams; teams that are not listed run nothing. */
    public fun setRunning(usage: Map<TeamName, Resources>) {
        running.clear()
        running.putAll(usage)
    }

    /** Adds [change], whose parts may be negative, to the running resources of [team]. */
    public fun adjust(
        team: TeamName,
        change: Resources,
    ) {
        running[team] = (running[team] ?: Resources.NONE) + change
    }

    /** True if [team] may run [limit] in addition. */
    public fun isWithinQuota(
        team: TeamName,
        limit: Resources,
    ): Boolean {
        val quota = quotaOf(team) ?: return true
        return ((running[team] ?: Resources.NONE) + limit).fitsIn(quota.running)
    }

    /** Handles that a task of [team] was placed with [limit]. */
    public fun placed(
        team: TeamName,
        limit: Resources,
        now: Timestamp,
    ) {
        adjust(team, limit)
        val amount = recentCharge(team, now) + dominantShare(limit, totalOf(team))
        charges[team] = Charge(amount, now)
    }

    /** Share of [team] at [now]; the team with the lowest share is served first. */
    public fun shareOf(
        team: TeamName,
        now: Timestamp,
    ): Double = dominantShare(running[team] ?: Resources.NONE, totalOf(team)) + recentCharge(team, now)

    private fun totalOf(team: TeamName): Resources = quotaOf(team)?.running ?: fleetCapacity

    private fun recentCharge(
        team: TeamName,
        now: Timestamp,
    ): Double {
        val charge = charges[team] ?: return 0.0
        val halfLives = now.millisSince(charge.at).toDouble() / CHARGE_HALF_LIFE_MILLIS
        return charge.amount * DECAY_BASE.pow(halfLives)
    }

    private class Charge(
        val amount: Double,
        val at: Timestamp,
    )

    public companion object {
        /** Half-life of the charge for a start. */
        public const val CHARGE_HALF_LIFE_MILLIS: Long = 30_000
    }
}

private const val DECAY_BASE = 0.5

/** The largest ratio of a part of [amount] to that of [total]; a part that [total] lacks counts as fully used. */
internal fun dominantShare(
    amount: Resources,
    total: Resources,
): Double =
    maxOf(
        ratio(amount.milliCores, total.milliCores),
        ratio(amount.memoryMegabytes, total.memoryMegabytes),
        ratio(amount.accelerators.toLong(), total.accelerators.toLong()),
    )

private fun ratio(
    amount: Long,
    total: Long,
): Double =
    when {
        amount <= 0 -> 0.0
        total <= 0 -> 1.0
        else -> amount.toDouble() / total
    }
