/*
 * A job in the memory of the scheduler: its definition, its tasks and its outcome.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable
import org.greengagepass.core.Timestamp

/** Outcome of a job. */
@Serializable
public enum class JobOutcome {
    /** Some tasks are not done yet. */
    ACTIVE,

    /** Every task is done. */
    COMPLETED,

    /** A task used up its attempts. */
    FAILED,

    /** The caller cancelled the job. */
    CANCELLED,
}

/** Status of a job as shown to callers. */
@Serializable
public enum class JobStatus {
    QUEUED,
    IN_PROGRESS,
    COMPLETED,
    FAILED,
    CANCELLED,
}

/** A job and its tasks. */
public class Job(
    public val id: JobId,
    public val definition: JobDefinition,
) {
    private val steps = definition.specification.steps
    private val tasksPerOccurrence = steps.sumOf { it.taskCount }
    private val firstPositions = steps.runningFold(0) { sum, step -> sum + step.taskCount }

    /** All tasks, by occurrence, step and index. */
    public val tasks: List<JobTask> =
        (0 until definition.specification.occurrences).flatMap { occurrence ->
            steps.flatMapIndexed { number, step ->
                (0 until step.taskCount).map { JobTask(TaskKey(id, occurrence, number, it), step) }
            }
        }

    /** Outcome of the job so far. */
    public var outcome: JobOutcome = JobOutcome.ACTIVE
        internal set

    /** True once a host has started a task. */
    public var hasBegun: Boolean = false
        internal set

    /** When the job was first seen with tasks that could start and none on a host, or null. */
    internal var idleSince: Timestamp? = null

    /** When the job ended, for its retention; null while it is active. */
    public var endedAtEpochMillis: Long? = null
        internal set

    /** Time by which the job has to end to meet its objective, from its longest chain of estimated work. */
    public val objectiveEpochMillis: Long =
        definition.acceptedAtEpochMillis + definition.queue.latencyTargetMillis +
            (definition.queue.stretchFactor * longestChainMillis()).toLong()

    /** The task with [key], or null if the job has no such task. */
    public fun task(key: TaskKey): JobTask? = tasksOf(key.occurrence, key.step).getOrNull(key.index)

    /** The tasks of [step] in [occurrence]. */
    public fun tasksOf(
        occurrence: Int,
        step: Int,
    ): List<JobTask> {
        if (step !in steps.indices || occurrence !in 0 until definition.specification.occurrences) return emptyList()
        val first = occurrence * tasksPerOccurrence + firstPositions[step]
        return tasks.subList(first, first + steps[step].taskCount)
    }

    /** True if the tasks of [step] in [occurrence] may start at [nowEpochMillis]. */
    public fun isReady(
        occurrence: Int,
        step: Int,
        nowEpochMillis: Long,
    ): Boolean {
        val due = definition.specification.schedule?.dueAtEpochMillis(occurrence) ?: Long.MIN_VALUE
        return nowEpochMillis >= due && steps[step].dependsOn.all { isStepDone(occurrence, it) }
    }

    /** Status as shown to callers. */
    public fun status(): JobStatus =
        when (outcome) {
            JobOutcome.COMPLETED -> JobStatus.COMPLETED
            JobOutcome.FAILED -> JobStatus.FAILED
            JobOutcome.CANCELLED -> JobStatus.CANCELLED
            JobOutcome.ACTIVE -> if (hasBegun) JobStatus.IN_PROGRESS else JobStatus.QUEUED
        }

    /** True if all tasks are done. */
    internal fun isAllDone(): Boolean = tasks.all { it.state == TaskState.Done }

    /** Estimated work of the longest chain of steps that are not done. */
    internal fun remainingChainMillis(): Long {
        val ends = LongArray(steps.size)
        steps.forEachIndexed { number, step ->
            val begin = step.dependsOn.filter { it < number }.maxOfOrNull { ends[it] } ?: 0
            ends[number] = begin + if (isStepDone(0, number)) 0 else step.estimatedMillis
        }
        return ends.maxOrNull() ?: 0
    }

    private fun isStepDone(
        occurrence: Int,
        step: Int,
    ): Boolean = tasksOf(occurrence, step).all { it.state == TaskState.Done }

    private fun longestChainMillis(): Long {
        val ends = LongArray(steps.size)
        steps.forEachIndexed { number, step ->
            val begin = step.dependsOn.filter { it < number }.maxOfOrNull { ends[it] } ?: 0
            ends[number] = begin + step.estimatedMillis
        }
        return ends.maxOrNull() ?: 0
    }
}
