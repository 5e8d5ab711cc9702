/*
 * Age of a process's view of the configuration. A view is confirmed as of the time at which a read of the log was
 * sent that returned no newer record; records written later are not covered. A task may start only on a view that was
 * confirmed within the last three seconds, so that no task starts in a failure domain more than three seconds after
 * it was taken out of service, even in a network partition.
 */
package org.greengagepass.core.version

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp

/**
 * Freshness of the view of one process. Times are readings of its own clock, which the caller takes before it sends a
 * request and not after the reply has arrived. Not safe for use by several threads at once.
 */
public class ConfigurationFreshness {
    private val pending = ArrayDeque<Confirmation>()
    private var folded: FencingToken = FencingToken.of(offset = 0, index = 0)

    /** Time as of which the view is confirmed to be complete, or null if it never was. */
    public var confirmedAsOf: Timestamp? = null
        private set

    /** Highest head reported by the log or a peer. */
    public var knownHead: FencingToken = folded
        private set

    /** True if there are records that this process has not folded yet. */
    public val isBehind: Boolean
        get() = folded < knownHead

    /** Records that this process has folded the stream up to [head], see [ConfigurationState.head]. */
    public fun folded(head: FencingToken) {
        folded = maxOf(folded, head)
        knownHead = maxOf(knownHead, folded)
        confirmPending()
    }

    /**
     * Handles the result of a read of the log that was sent at [sentAt] and showed that the stream ends at [head].
     * Its records may be folded before or after this call; the view is confirmed once both have happened.
     */
    public fun readReturned(
        sentAt: Timestamp,
        head: FencingToken,
    ) {
        update(Confirmation(head, asOf = sentAt))
    }

    /**
     * Handles the reply of a peer to a request that was sent at [sentAt]: its [head] was confirmed [ageMillis] before
     * its reply. The reply was sent after the request, so the confirmation is not older than [sentAt] minus
     * [ageMillis].
     */
    public fun peerAnswered(
        sentAt: Timestamp,
        head: FencingToken,
        ageMillis: Long,
    ) {
        if (ageMillis in 0..PEER_AGE_MAXIMUM_MILLIS) {
            update(Confirmation(head, asOf = sentAt.plusMillis(-ageMillis)))
        }
    }

    /** Returns the reply to a peer's request at [now], or null if this process has no confirmed view. */
    public fun answerForPeer(now: Timestamp): ConfirmedHead? =
        confirmedAsOf?.let { ConfirmedHead(folded, ageMillis = maxOf(0, now.millisSince(it))) }

    /**
     * Returns the latest time, on a worker's clock, for a start that is permitted at [now]. [workerClock] is an
     * earlier reading of that clock. Null if no start may be permitted.
     */
    public fun startDeadline(
        workerClock: Timestamp,
        now: Timestamp,
    ): Timestamp? {
        val ageMillis = confirmedAsOf?.let { maxOf(0, now.millisSince(it)) } ?: return null
        val remainingMillis = PERMISSION_AGE_MAXIMUM_MILLIS - ageMillis
        return if (remainingMillis > 0) workerClock.plusMillis(remainingMillis) else null
    }

    private fun update(confirmation: Confirmation) {
        knownHead = maxOf(knownHead, confirmation.head)
        pending.removeAll { it.head >= confirmation.head && it.asOf <= confirmation.asOf }
        pending.addLast(confirmation)
        if (pending.size > PENDING_MAXIMUM) {
            pending.removeFirst()
        }
        confirmPending()
    }

    private fun confirmPending() {
        val confirmed = pending.filter { it.head <= folded }.maxOfOrNull { it.asOf } ?: return
        pending.removeAll { it.head <= folded }
        confirmedAsOf = maxOf(confirmedAsOf ?: confirmed, confirmed)
    }

    public companion object {
        /** Maximum age of a view on which a task may be started. */
        public const val PERMISSION_AGE_MAXIMUM_MILLIS: Long = 3_000

        /** Maximum age of a confirmation by a peer. An older one is of no use and is ignored. */
        private const val PEER_AGE_MAXIMUM_MILLIS = 600_000L

        /**
         * Maximum number of confirmations that are kept until their records are folded. Newer ones replace older
         * ones.
         */
        private const val PENDING_MAXIMUM = 16
    }
}

/** A head of the configuration stream, confirmed [ageMillis] ago. */
public data class ConfirmedHead(
    val head: FencingToken,
    val ageMillis: Long,
)

private data class Confirmation(
    val head: FencingToken,
    val asOf: Timestamp,
)
