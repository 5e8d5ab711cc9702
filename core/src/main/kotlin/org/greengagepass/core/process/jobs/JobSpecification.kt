/*
 * What a caller asks for: a job of steps, each of a number of equal tasks, and the queue that it goes to.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName

/** How a step's tasks end and begin. */
@Serializable
public enum class StepLifetime {
    /** A task runs until its work is done. */
    FINITE,

    /** A task runs until its job is cancelled and is restarted however it ends. */
    STANDING,
}

/** How the tasks of a step start relative to each other. */
@Serializable
public enum class StepCoordination {
    /** Tasks start one by one. */
    INDEPENDENT,

    /** Tasks work only while all of them are present, so they are placed together. */
    GANG,
}

/** Where the tasks of a step may or should run. */
@Serializable
public data class StepConstraints(
    /** Label that a host must have. */
    val requiredLabel: String? = null,
    /** Rack that holds the data; tasks take longer elsewhere. */
    val dataRack: RackName? = null,
    /** Most tasks of one occurrence of the step on one host; null means no limit. */
    val tasksPerHostMaximum: Int? = null,
    /** True if the tasks take longer when they are spread over racks. */
    val prefersOneRack: Boolean = false,
)

/** What a task of a step does to its neighbours and what it bears from them. */
@Serializable
public data class StepSharing(
    /** Tasks of one image behave alike. */
    val image: String = "",
    /** Bound of a serving task's tail latency; null for tasks that serve nobody. */
    val latencyTargetMillis: Long? = null,
    /** True if the tasks only take processor time that others leave, so that it is not reserved for them. */
    val usesSpareProcessor: Boolean = false,
    /** Most tasks that may be away at once because of the scheduler's own actions. */
    val absencesMaximum: Int = 0,
) {
    /** True for tasks that serve users of their own and have a bound on their latency. */
    val isServing: Boolean
        get() = latencyTargetMillis != null
}

/** One step: [taskCount] equal tasks that start once the steps in [dependsOn] are done. */
@Serializable
public data class StepSpecification(
    val taskCount: Int,
    val demand: Resources,
    val estimatedMillis: Long = 0,
    val dependsOn: List<Int> = emptyList(),
    val isCheckpointing: Boolean = false,
    val allowsCopies: Boolean = false,
    val lifetime: StepLifetime = StepLifetime.FINITE,
    val coordination: StepCoordination = StepCoordination.INDEPENDENT,
    val constraints: StepConstraints = StepConstraints(),
    val sharing: StepSharing = StepSharing(),
) {
    /** What a host has to reserve for one task. */
    val reservation: Resources
        get() = if (sharing.usesSpareProcessor) demand.copy(milliCores = 0) else demand
}

/** Times at which a job's steps run; a job that runs once, at once, has no schedule. */
@Serializable
public data class JobSchedule(
    val occurrences: Int,
    val firstDueEpochMillis: Long,
    val intervalMillis: Long,
) {
    /** When [occurrence], counted from 0, is due. */
    public fun dueAtEpochMillis(occurrence: Int): Long = firstDueEpochMillis + occurrence * intervalMillis
}

/** A job as its caller handed it in. */
@Serializable
public data class JobSpecification(
    val payload: String,
    val steps: List<StepSpecification>,
    val schedule: JobSchedule? = null,
) {
    /** How often the steps run. */
    val occurrences: Int
        get() = schedule?.occurrences ?: 1
}

/** What the operators say of a queue. */
@Serializable
public data class QueueDefinition(
    val name: QueueName,
    /** Pool of hosts that run the queue's tasks. */
    val pool: ServiceName,
    /** 0 comes first. */
    val priority: Int = 0,
    /** Runs of a task that may fail before its job has failed. */
    val attemptsMaximum: Int = 1,
    /** A job's objective is this factor times its longest chain of work, and [latencyTargetMillis] more. */
    val stretchFactor: Double = 1.0,
    val latencyTargetMillis: Long = 0,
)

/** The fixed part of an accepted job. */
@Serializable
public data class JobDefinition(
    val queue: QueueDefinition,
    val specification: JobSpecification,
    val acceptedAtEpochMillis: Long,
)
