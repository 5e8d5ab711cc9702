/*
 * Replies to requests of callers about jobs.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable

/** Reply to a request about a job or a queue. */
@Serializable
public sealed class JobReply {
    /** The job is stored. */
    @Serializable
    public data object Accepted : JobReply()

    /** The job is not stored and never runs; the caller may retry after [retryAfterMillis]. */
    @Serializable
    public data class NotRun(
        val retryAfterMillis: Long,
        val reason: String,
    ) : JobReply()

    /** It is not known whether the job is stored. */
    @Serializable
    public data class Uncertain(
        val reason: String,
    ) : JobReply()

    /** The job is known. */
    @Serializable
    public data class Found(
        val status: JobStatus,
    ) : JobReply()

    /** No such job is known. */
    @Serializable
    public data object Unknown : JobReply()

    /** The job is cancelled, or had already ended. */
    @Serializable
    public data object Cancelled : JobReply()

    /** Number of accepted jobs of a queue that have not begun. */
    @Serializable
    public data class Pending(
        val jobs: Int,
    ) : JobReply()
}
