/*
 * Answers to what callers ask of jobs.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.Serializable

/** Answer to a call about a job or a queue. */
@Serializable
public sealed class JobReply {
    /** The job is stored. */
    @Serializable
    public data object Accepted : JobReply()

    /** The job is not stored and never runs; the caller may come back at a time this far from now. */
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

    /** There is no such job. */
    @Serializable
    public data object Unknown : JobReply()

    /** The job is cancelled, or had ended before. */
    @Serializable
    public data object Cancelled : JobReply()

    /** Accepted jobs of a queue that have not begun. */
    @Serializable
    public data class Pending(
        val jobs: Int,
    ) : JobReply()
}
