/*
 * A job as a caller requests it: steps of equal tasks, and the queue that the job belongs to.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName

/** Lifetime of the tasks of a step. */
@Serializable
public enum class StepLifetime {
    /** A task runs until its work is done. */
    FINITE,

    /** A task runs until its job is cancelled, and is restarted whenever it ends. */
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

/** Hosts on which the tasks of a step may or should run. */
@Serializable
public data class StepConstraints(
    /** Label that a host must have. */
    val requiredLabel: String? = null,
    /** Rack that holds the data; tasks take longer elsewhere. */
    val dataRack: RackName? = null,
    /** Maximum number of tasks of one occurrence of the step on one host; null means no limit. */
    val tasksPerHostMaximum: Int? = null,
    /** True if the tasks take longer when they are spread over racks. */
    val prefersOneRack: Boolean = false,
)

/** How the tasks of a step share a host with other tasks. */
@Serializable
public data class StepSharing(
    /** Tasks of one image behave alike. */
    val image: String = "",
    /** Objective of a serving task's tail latency; null for any other task. */
    val latencyTargetMillis: Long? = null,
    /** True for best-effort tasks, which use only spare processor time, so that none is reserved for them. */
    val usesSpareProcessor: Boolean = false,
    /** Maximum number of tasks that the scheduler's own actions may interrupt at the same time. */
    val absencesMaximum: Int = 0,
) {
    /** True for serving tasks, which have a latency objective. */
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
    /** Resources that a host reserves for one task. */
    val reservation: Resources
        get() = if (sharing.usesSpareProcessor) demand.copy(milliCores = 0) else demand
}

/** Times at which a job's steps run; a job without a schedule runs once, immediately. */
@Serializable
public data class JobSchedule(
    val occurrences: Int,
    val firstDueEpochMillis: Long,
    val intervalMillis: Long,
) {
    /** When [occurrence], counted from 0, is due. */
    public fun dueAtEpochMillis(occurrence: Int): Long = firstDueEpochMillis + occurrence * intervalMillis
}

/** A job as its caller submitted it. */
@Serializable
public data class JobSpecification(
    val payload: String,
    val steps: List<StepSpecification>,
    val schedule: JobSchedule? = null,
) {
    /** Number of times that the steps run. */
    val occurrences: Int
        get() = schedule?.occurrences ?: 1
}

/** Configuration of a queue by the operators. */
@Serializable
public data class QueueDefinition(
    val name: QueueName,
    /** Pool of hosts that run the queue's tasks. */
    val pool: ServiceName,
    /** 0 is the highest priority. */
    val priority: Int = 0,
    /** Number of failed runs of a task at which its job fails. */
    val attemptsMaximum: Int = 1,
    /** A job's objective is this factor times its longest chain of estimated work, plus [latencyTargetMillis]. */
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
