/*
 * Liveness of one connection between two processes. Each side sends a heartbeat every second and expects those of the
 * other side. A connection without a heartbeat for three seconds is dead, even if its socket is still open.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.Timestamp

/**
 * Monitors one connection that was opened at [openedAt]. All times are readings of the clock of the process that owns
 * the monitor. Not safe for use by several threads at once.
 */
public class ConnectionMonitor(
    openedAt: Timestamp,
) {
    private var sendDeadline: Timestamp = openedAt
    private var receiveDeadline: Timestamp = openedAt.plusMillis(DEAD_AFTER_MILLIS)
    private var dead: Boolean = false

    /** The next time at which [decide] may return a different decision. */
    public val nextDeadline: Timestamp
        get() = minOf(sendDeadline, receiveDeadline)

    /** Records a heartbeat of the other side. It does not revive a connection that is already dead. */
    public fun heartbeatReceived(now: Timestamp) {
        if (now < receiveDeadline) {
            receiveDeadline = maxOf(receiveDeadline, now.plusMillis(DEAD_AFTER_MILLIS))
        } else {
            dead = true
        }
    }

    /** Decides what to do at [now]. On [ConnectionDecision.SendHeartbeat] the caller must send a heartbeat at once. */
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
        /** Interval between heartbeats. */
        public const val HEARTBEAT_INTERVAL_MILLIS: Long = 1_000

        /** Time without a heartbeat after which a connection is dead. */
        public const val DEAD_AFTER_MILLIS: Long = 3_000
    }
}

/** What the owner of a connection does next. */
public sealed class ConnectionDecision {
    /** Send a heartbeat now. */
    public data object SendHeartbeat : ConnectionDecision()

    /** The connection is dead: close it and open another. */
    public data object Close : ConnectionDecision()

    /** Do nothing before [until]. */
    public data class Wait(
        val until: Timestamp,
    ) : ConnectionDecision()
}
