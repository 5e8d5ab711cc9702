/*
 * Conditions that a host must meet before a task may be placed on it.
 */
package org.greengagepass.core.process.jobs

/** Decides whether a task may be placed on a host of [state]. */
internal class HostConstraints(
    private val state: SchedulerState,
) {
    /**
     * True if [task] may be placed on [candidate]. For a task whose job has waited for too long
     * ([isStarved]), spare processor time and latency are not checked; it is throttled as far as serving tasks need.
     */
    fun isFeasible(
        task: JobTask,
        candidate: HostCandidate,
        isStarved: Boolean,
    ): Boolean =
        mayStartOn(task.step, candidate) &&
            candidate.fits(task.step) &&
            task.key !in candidate.host.runs &&
            hasLabel(task.step.constraints, candidate.host) &&
            (isStarved || (hasSpareProcessor(task.step, candidate) && staysWithinLatency(task.step, candidate))) &&
            respectsSpreadLimit(task, candidate)

    /** The members of a gang are placed all at once or not at all, so they do not wait for other starts. */
    private fun mayStartOn(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Boolean = candidate.takesStarts || step.coordination == StepCoordination.GANG

    /** A best-effort task waits if it would push serving tasks over their latency setpoint. */
    private fun staysWithinLatency(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Boolean =
        !step.sharing.usesSpareProcessor ||
            candidate.latencyHeadroom.all { (service, headroom) -> effect(step, candidate, service) <= headroom }

    /** Effect of a task of [step] on the serving tasks of image [service] on the host of [candidate]. */
    fun effect(
        step: StepSpecification,
        candidate: HostCandidate,
        service: String,
    ): Double = state.interference.effect(candidate.host, step.sharing.image, step.demand.milliCores, service)

    /** Effect of a task of [step] on the serving task that it slows most on the host of [candidate]. */
    fun worstEffect(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Double = state.interference.worstEffect(candidate.host, step.sharing.image, step.demand.milliCores)

    private fun hasLabel(
        constraints: StepConstraints,
        host: Host,
    ): Boolean = constraints.requiredLabel == null || constraints.requiredLabel in host.description.labels

    private fun respectsSpreadLimit(
        task: JobTask,
        candidate: HostCandidate,
    ): Boolean =
        task.step.constraints.tasksPerHostMaximum
            ?.let { candidate.siblingsOf(task.key) < it } ?: true

    /** A single task may request more than is spare, since it could never run on a small host otherwise. */
    private fun hasSpareProcessor(
        step: StepSpecification,
        candidate: HostCandidate,
    ): Boolean =
        !step.sharing.usesSpareProcessor ||
            candidate.spareDemandMilliCores == 0L ||
            candidate.spareLoadWith(step) <= SPARE_LOAD_MAXIMUM

    private companion object {
        /** Ratio of demand to spare processor time; above it another task only takes time from the others. */
        private const val SPARE_LOAD_MAXIMUM = 1.05
    }
}
