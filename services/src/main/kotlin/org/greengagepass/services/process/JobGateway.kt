/*
 * Passes callers' requests to the scheduler.
 */
package org.greengagepass.services.process

import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobReply
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName

/** Sends requests to the scheduler on behalf of callers. Every reply comes by the given time. */
public interface JobGateway {
    /** Submits a job. */
    public suspend fun submit(
        id: JobId,
        queue: QueueDefinition,
        specification: JobSpecification,
        replyDeadline: Timestamp,
    ): JobReply

    /** Finds the status of a job. */
    public suspend fun find(
        id: JobId,
        replyDeadline: Timestamp,
    ): JobReply

    /** Cancels a job. */
    public suspend fun cancel(
        id: JobId,
        replyDeadline: Timestamp,
    ): JobReply

    /** Counts the jobs of a queue that have not started. */
    public suspend fun countPending(
        queue: QueueName,
        replyDeadline: Timestamp,
    ): JobReply
}
