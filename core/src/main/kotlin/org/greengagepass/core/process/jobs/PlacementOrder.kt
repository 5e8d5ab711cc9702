/*
 * The order in which jobs are placed. The priority of their queue comes first. Within a priority, jobs that can still
 * meet their objective come first, so that one late job does not delay others too; then jobs that are late but whose
 * result is still useful; then the rest.
 */
package org.greengagepass.core.process.jobs

/** Position of a job in the order; lower ranks come first. */
internal data class PlacementRank(
    val priority: Int,
    val tier: Int,
    val dueEpochMillis: Long,
) : Comparable<PlacementRank> {
    override fun compareTo(other: PlacementRank): Int =
        compareValuesBy(this, other, { it.priority }, { it.tier }, { it.dueEpochMillis })
}

/** Ranks jobs at [nowEpochMillis]. */
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
        val lateLimit = accepted + allowedMillis * LATE_FACTOR
        return when {
            earliestEnd <= job.objectiveEpochMillis -> PlacementRank(priority, 0, job.objectiveEpochMillis)
            earliestEnd <= lateLimit -> PlacementRank(priority, 1, lateLimit)
            else -> PlacementRank(priority, 2, accepted)
        }
    }

    private companion object {
        /** A result after three times the allowed time is of little use to its caller. */
        private const val LATE_FACTOR = 3
    }
}
