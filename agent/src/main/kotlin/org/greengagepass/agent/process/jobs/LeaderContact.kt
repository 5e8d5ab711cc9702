/*
 * Tells whether the agent has read what the leader has sent lately. After the process was suspended, the repetition of
 * a start may be due before the stop that waits in the connection has been read.
 */
package org.greengagepass.agent.process.jobs

import org.greengagepass.protocol.connection.SchedulerDialer

/** Contact with the leader by [clock], in milliseconds. Confined to the agent's dispatcher. */
internal class LeaderContact(
    private val clock: () -> Long,
) {
    private var lastMessageAt = clock()
    private var catchesUpUntil = lastMessageAt

    /** Handles a new connection. */
    fun onConnected() {
        lastMessageAt = clock()
        catchesUpUntil = lastMessageAt
    }

    /** Handles a message of the leader. */
    fun onMessage() {
        val now = clock()
        if (now - lastMessageAt > SILENCE_MILLIS) catchesUpUntil = now + CATCH_UP_MILLIS
        lastMessageAt = now
    }

    /** False if messages of the leader may wait to be read. */
    val isCurrent: Boolean
        get() {
            val now = clock()
            return now - lastMessageAt <= SILENCE_MILLIS && now >= catchesUpUntil
        }

    private companion object {
        /** A connection without a message for this time counts as lost unless the process itself stood still. */
        private const val SILENCE_MILLIS = SchedulerDialer.SILENCE_MILLIS

        /** Time in which an agent reads what has arrived while it stood still. */
        private const val CATCH_UP_MILLIS = 100L
    }
}
