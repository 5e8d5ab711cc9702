/*
 * The order in which teams are served: lowest dominant share over quota first. Besides what runs, recent starts are
 * charged for a while, so that a team whose tasks fail or are cancelled at once does not stay first for ever.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Quota
import kotlin.math.pow

/** Shares of teams. [quotaOf] gives a team's running limit, or null if it has none. */
public class FairShare(
    private val quotaOf: (TeamName) -> Quota?,
) {
    private val running = HashMap<TeamName, Resources>()
    private val charges = HashMap<TeamName, Charge>()
    private var fleet = Resources.NONE

    /** Sets what the hosts hold in total, which is the measure for teams without a quota. */
    public fun fleetSize(total: Resources) {
        fleet = total
    }

    /** Replaces what runs of each team; teams that are not listed have nothing running. */
    public fun runningOf(usage: Map<TeamName, Resources>) {
        running.clear()
        running.putAll(usage)
    }

    /** Adds [change], whose parts may be negative, to what runs of [team]. */
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

    /** A task of [team] was placed with [limit]. */
    public fun placed(
        team: TeamName,
        limit: Resources,
        now: Timestamp,
    ) {
        adjust(team, limit)
        val amount = recentCharge(team, now) + dominantShare(limit, measureOf(team))
        charges[team] = Charge(amount, now)
    }

    /** Share of [team] at [now]; the lowest is served first. */
    public fun shareOf(
        team: TeamName,
        now: Timestamp,
    ): Double = dominantShare(running[team] ?: Resources.NONE, measureOf(team)) + recentCharge(team, now)

    private fun measureOf(team: TeamName): Resources = quotaOf(team)?.running ?: fleet

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
        /** Time in which the charge for a start halves. */
        public const val CHARGE_HALF_LIFE_MILLIS: Long = 30_000
    }
}

private const val DECAY_BASE = 0.5

/** The largest part of [amount] relative to [total]; a part of which there is none counts as wholly used. */
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
