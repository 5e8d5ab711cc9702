/*
 * The three outcomes of a request. "Not run" is a proven fact that permits a retry at another upstream. Without proof
 * either way the outcome is unknown, and only an idempotent request may be retried.
 */
package org.greengagepass.core.request

import kotlinx.serialization.Serializable
import org.greengagepass.core.ResultCode

/** Outcome of a request. */
@Serializable
public sealed class RequestOutcome {
    /** The result code shown to callers and in logs and metrics. */
    public abstract val code: ResultCode

    /** The upstream ran the request and returned the complete [answer]. */
    @Serializable
    public data class Ran(
        val answer: Answer,
        override val code: ResultCode = ResultCode.OK,
    ) : RequestOutcome()

    /** The request did not run and never will under this attempt. */
    @Serializable
    public data class NotRun(
        override val code: ResultCode,
        val detail: String,
    ) : RequestOutcome()

    /** It is unknown whether the request ran. */
    @Serializable
    public data class Unknown(
        override val code: ResultCode,
        val detail: String,
    ) : RequestOutcome()
}

/** Answer of an upstream. */
@Serializable
public data class Answer(
    val status: Int,
    val contentType: String,
    val body: String,
)
