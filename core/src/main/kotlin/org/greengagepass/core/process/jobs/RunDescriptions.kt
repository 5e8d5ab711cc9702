/*
 * Texts about runs for the log of decisions.
 */
package org.greengagepass.core.process.jobs

/** Describes runs. */
internal object RunDescriptions {
    /** The end of a run with what was expected of it. */
    fun ofEnd(
        end: RunEnd,
        held: HeldRun?,
        moment: Moment,
    ): String {
        val outcome = end.outcome.name.lowercase()
        if (held == null) return "$outcome, not expected"
        val step = held.entry.step
        return "$outcome after ${moment.now.millisSince(held.placedAt)} ms, estimated ${step.estimatedMillis} ms, " +
            "last measured ${held.lastStatus?.measurement} of ${step.demand.milliCores}"
    }
}
