/*
 * The three outcomes of a request. "Not run" is a statement of fact that permits a retry elsewhere; where there is
 * no proof either way the outcome is unknown, and only idempotent work may be tried again.
 */
package org.greengagepass.core.request

import kotlinx.serialization.Serializable
import org.greengagepass.core.ResultCode

/** What became of a request. */
@Serializable
public sealed class RequestOutcome {
    /** The code that callers, logs and metrics show. */
    public abstract val code: ResultCode

    /** The upstream ran the request and gave the whole [answer]. */
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

    /** It can't be told whether the request ran. */
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
