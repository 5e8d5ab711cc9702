/*
 * Descriptions of runs for the decision log.
 */
package org.greengagepass.core.process.jobs

/** Describes runs. */
internal object RunDescriptions {
    /** Describes the end of a run and compares its duration and its last measurement with the estimates. */
    fun ofEnd(
        end: RunEnd,
        placed: PlacedRun?,
        moment: Moment,
    ): String {
        val outcome = end.outcome.name.lowercase()
        if (placed == null) return "$outcome, not expected"
        val step = placed.task.step
        return "$outcome after ${moment.now.millisSince(placed.placedAt)} ms, estimated ${step.estimatedMillis} ms, " +
            "last measured ${placed.lastStatus?.measurement} of ${step.demand.milliCores}"
    }
}
