/*
 * What may have happened to an HTTP call without an answer.
 */
package org.greengagepass.services.process

/** Why a call has no answer. */
public sealed class HttpFailure {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** There was no connection, so that the call can't have reached the other end. */
    public data class NotSent(
        override val detail: String,
    ) : HttpFailure()

    /** The answer did not come in time; the call may have taken effect. */
    public data class TimedOut(
        override val detail: String,
    ) : HttpFailure()

    /** The connection broke; the call may have taken effect. */
    public data class ConnectionLost(
        override val detail: String,
    ) : HttpFailure()
}
