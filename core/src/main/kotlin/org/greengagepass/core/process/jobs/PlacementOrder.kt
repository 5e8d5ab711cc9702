/*
 * The order in which jobs get hosts. The priority of their queue comes first. Within it, jobs that can still meet
 * their objective go before jobs that can't any more, since nobody gains when one late job makes the next one late
 * too; then come those that are late but not yet of little use, and then the rest.
 */
package org.greengagepass.core.process.jobs

/** Place of a job in the order; lower comes first. */
internal data class PlacementRank(
    val priority: Int,
    val tier: Int,
    val dueEpochMillis: Long,
) : Comparable<PlacementRank> {
    override fun compareTo(other: PlacementRank): Int =
        compareValuesBy(this, other, { it.priority }, { it.tier }, { it.dueEpochMillis })
}

/** Ranks jobs at one moment. */
internal class PlacementOrder(
    private val nowEpochMillis: Long,
) {
    /** Rank of [job], whose queue has [priority]. */
    fun rank(
        job: Job,
        priority: Int,
    ): PlacementRank {
        val accepted = job.definition.acceptedAtEpochMillis
        val allowedMillis = job.objectiveEpochMillis - accepted
        val earliestEnd = nowEpochMillis + job.remainingChainMillis()
        val late = accepted + allowedMillis * LATE_FACTOR
        return when {
            earliestEnd <= job.objectiveEpochMillis -> PlacementRank(priority, 0, job.objectiveEpochMillis)
            earliestEnd <= late -> PlacementRank(priority, 1, late)
            else -> PlacementRank(priority, 2, accepted)
        }
    }

    private companion object {
        /** A result after three times the allowed time is of little use to its caller. */
        private const val LATE_FACTOR = 3
    }
}
