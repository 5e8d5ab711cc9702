/*
 * Failures of HTTP calls, by whether the call may have taken effect.
 */
package org.greengagepass.services.process

/** Why a call has no response. */
public sealed class HttpFailure {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** No connection was established, so the call can't have reached the server. */
    public data class NotSent(
        override val detail: String,
    ) : HttpFailure()

    /** The response did not arrive in time; the call may have taken effect. */
    public data class TimedOut(
        override val detail: String,
    ) : HttpFailure()

    /** The connection was lost; the call may have taken effect. */
    public data class ConnectionLost(
        override val detail: String,
    ) : HttpFailure()
}
