/*
 * Identifiers of jobs, their tasks, the runs of a task and the incarnations of a host.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable
import org.greengagepass.core.HostId

/** Identifies a job; the caller chooses it, so that a repeated submission is recognised. */
@JvmInline
@Serializable
public value class JobId(
    public val value: String,
)

/** Name of a queue, as configured by the operators. */
@JvmInline
@Serializable
public value class QueueName(
    public val value: String,
)

/** One task: the [index]-th of [step] in [occurrence] of [job]. */
@Serializable
public data class TaskKey(
    val job: JobId,
    val occurrence: Int,
    val step: Int,
    val index: Int,
)

/** One start of a task; numbers rise with every start of the same task. */
@Serializable
public data class TaskRun(
    val task: TaskKey,
    val number: Int,
)

/** Name under which an executor announces itself. It may or may not change with each incarnation. */
@JvmInline
@Serializable
public value class ExecutorName(
    public val value: String,
)

/**
 * One lifetime of the executor on [host]. A host has one executor at a time, so the runs of an earlier incarnation have
 * ended.
 */
@Serializable
public data class HostIncarnation(
    val host: HostId,
    val executor: ExecutorName,
    val startedAtEpochMillis: Long,
)
