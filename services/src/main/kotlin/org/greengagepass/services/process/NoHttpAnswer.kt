/*
 * What may have happened to an HTTP call without an answer.
 */
package org.greengagepass.services.process

/** Why a call has no answer. */
public sealed class NoHttpAnswer {
    /** What happened, for a log line. */
    public abstract val detail: String

    /** There was no connection, so that the call can't have reached the other end. */
    public data class NotSent(
        override val detail: String,
    ) : NoHttpAnswer()

    /** The answer did not come in time; the call may have taken effect. */
    public data class Late(
        override val detail: String,
    ) : NoHttpAnswer()

    /** The connection broke; the call may have taken effect. */
    public data class Broken(
        override val detail: String,
    ) : NoHttpAnswer()
}
