/*
 * What a host must offer to take a task at all.
 */
package org.greengagepass.core.process.jobs

/** Decides whether hosts of [state] may take a task. */
internal class HostConstraints(
    private val state: SchedulerState,
) {
    /**
     * True if [room] may take [entry], one of [siblings]. A task whose job has waited for too long [isStarved]; it only
     * has to fit, and is slowed as far as its neighbours need.
     */
    fun mayTake(
        entry: JobTask,
        siblings: List<JobTask>,
        room: HostRoom,
        isStarved: Boolean,
    ): Boolean =
        room.fits(entry.step) &&
            entry.key !in room.host.runs &&
            hasLabel(entry.step.constraints, room.host) &&
            (isStarved || (hasSpareRoom(entry.step, room) && isBearable(entry.step, room))) &&
            isSpread(entry.step.constraints, siblings, room.host)

    /** A task that would push serving tasks over their bounds waits; it would cost them more than it gains. */
    private fun isBearable(
        step: StepSpecification,
        room: HostRoom,
    ): Boolean =
        !step.sharing.usesSpareProcessor ||
            room.interferenceRooms.all { (service, left) -> effect(step, room, service) <= left }

    /** Effect of a task of [step] on the serving tasks of image [service] on the host of [room]. */
    fun effect(
        step: StepSpecification,
        room: HostRoom,
        service: String,
    ): Double = state.interference.effect(room.host, step.sharing.image, step.demand.milliCores, service)

    /** Effect of a task of [step] on the serving task that it slows most on the host of [room]. */
    fun worstEffect(
        step: StepSpecification,
        room: HostRoom,
    ): Double = state.interference.worstEffect(room.host, step.sharing.image, step.demand.milliCores)

    private fun hasLabel(
        constraints: StepConstraints,
        host: Host,
    ): Boolean = constraints.requiredLabel == null || constraints.requiredLabel in host.description.labels

    /** Runs that are being stopped count too, since they are there until their end is listed. */
    private fun isSpread(
        constraints: StepConstraints,
        siblings: List<JobTask>,
        host: Host,
    ): Boolean {
        val maximum = constraints.tasksPerHostMaximum ?: return true
        return siblings.count { it.key in host.runs } < maximum
    }

    /** A single task may take more than is spare, or it could never run on a small host. */
    private fun hasSpareRoom(
        step: StepSpecification,
        room: HostRoom,
    ): Boolean =
        !step.sharing.usesSpareProcessor ||
            room.spareDemandMilliCores == 0L ||
            room.spareLoadWith(step) <= SPARE_LOAD_MAXIMUM

    private companion object {
        /** Demand over spare processor time up to which tasks that use it are added; above it they only share. */
        private const val SPARE_LOAD_MAXIMUM = 1.05
    }
}
