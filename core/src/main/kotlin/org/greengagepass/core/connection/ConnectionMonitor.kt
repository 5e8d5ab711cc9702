/*
 * Liveness of one connection between two processes. Each side sends a heartbeat every second and watches for those
 * of the other; a connection that carries none for three seconds is dead, even if its socket is still open.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.Timestamp

/**
 * Watches one connection that was opened at [openedAt]. All readings are of the clock of the process that holds the
 * monitor. Not safe for use by several threads at once.
 */
public class ConnectionMonitor(
    openedAt: Timestamp,
) {
    private var sendDeadline: Timestamp = openedAt
    private var receiveDeadline: Timestamp = openedAt.plusMillis(DEAD_AFTER_MILLIS)
    private var dead: Boolean = false

    /** The next moment at which [decide] may give another decision. */
    public val nextDeadline: Timestamp
        get() = minOf(sendDeadline, receiveDeadline)

    /** A heartbeat of the other side was handled. It does not revive a connection that was found dead. */
    public fun heartbeatReceived(now: Timestamp) {
        if (now < receiveDeadline) {
            receiveDeadline = maxOf(receiveDeadline, now.plusMillis(DEAD_AFTER_MILLIS))
        } else {
            dead = true
        }
    }

    /** What to do at [now]. The caller sends a heartbeat at once when told to. */
    public fun decide(now: Timestamp): ConnectionDecision {
        dead = dead || now >= receiveDeadline
        return when {
            dead -> ConnectionDecision.Close
            now >= sendDeadline -> sendHeartbeat(now)
            else -> ConnectionDecision.Wait(until = nextDeadline)
        }
    }

    private fun sendHeartbeat(now: Timestamp): ConnectionDecision {
        sendDeadline = now.plusMillis(HEARTBEAT_INTERVAL_MILLIS)
        return ConnectionDecision.SendHeartbeat
    }

    public companion object {
        /** Time between two heartbeats. */
        public const val HEARTBEAT_INTERVAL_MILLIS: Long = 1_000

        /** A connection without a heartbeat for this long is dead. */
        public const val DEAD_AFTER_MILLIS: Long = 3_000
    }
}

/** What the holder of a connection does next. */
public sealed class ConnectionDecision {
    /** Send a heartbeat now. */
    public data object SendHeartbeat : ConnectionDecision()

    /** The connection is dead: close it and open another. */
    public data object Close : ConnectionDecision()

    /** Nothing to do before [until]. */
    public data class Wait(
        val until: Timestamp,
    ) : ConnectionDecision()
}
