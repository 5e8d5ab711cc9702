/*
 * How old a process's view of the configuration may be. A view is confirmed as of the moment when a read of the log
 * was sent that returned nothing beyond it: whatever was written later is not covered. Starts of tasks need a view
 * confirmed within the last three seconds, so that a failure domain that was taken out sees no start after that,
 * whoever is cut off from whom.
 */
package org.greengagepass.core.version

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Timestamp

/**
 * Freshness of the view of one process. Times are of its own clock, read by the caller before a question is sent and
 * not after its answer came. Not safe for use by several threads at once.
 */
public class ConfigurationFreshness {
    private val pending = ArrayDeque<Confirmation>()
    private var folded: FencingToken = FencingToken.of(offset = 0, index = 0)

    /** Moment as of which the view is known to be complete, or null if it never was. */
    public var confirmedAsOf: Timestamp? = null
        private set

    /** Highest head that the log or a peer has told of. */
    public var knownHead: FencingToken = folded
        private set

    /** True if there are records that this process has not folded. */
    public val isBehind: Boolean
        get() = folded < knownHead

    /** This process has folded the stream up to [head], see [ConfigurationState.head]. */
    public fun folded(head: FencingToken) {
        folded = maxOf(folded, head)
        knownHead = maxOf(knownHead, folded)
        confirmPending()
    }

    /**
     * A read of the log that was sent at [sentAt] returned, and showed that the stream ends at [head]. Its records may
     * be folded before or after; the view is confirmed when both is done.
     */
    public fun readReturned(
        sentAt: Timestamp,
        head: FencingToken,
    ) {
        learn(Confirmation(head, asOf = sentAt))
    }

    /**
     * A peer answered a question that was sent at [sentAt]: it knew [head], confirmed [ageMillis] before its answer.
     * The answer was given after the question, so the confirmation is at least as young as the difference.
     */
    public fun peerAnswered(
        sentAt: Timestamp,
        head: FencingToken,
        ageMillis: Long,
    ) {
        if (ageMillis in 0..PEER_AGE_MAXIMUM_MILLIS) {
            learn(Confirmation(head, asOf = sentAt.plusMillis(-ageMillis)))
        }
    }

    /** What to tell a peer that asks at [now], or null if this process has no confirmed view. */
    public fun answerForPeer(now: Timestamp): HeadStatement? =
        confirmedAsOf?.let { HeadStatement(folded, ageMillis = maxOf(0, now.millisSince(it))) }

    /**
     * The last moment, in a worker's clock, at which a start may take place that is permitted at [now] for a host
     * whose worker's clock was read as [workerClock] before. Null if no start may be permitted.
     */
    public fun startDeadline(
        workerClock: Timestamp,
        now: Timestamp,
    ): Timestamp? {
        val ageMillis = confirmedAsOf?.let { maxOf(0, now.millisSince(it)) } ?: return null
        val remainingMillis = PERMISSION_AGE_MAXIMUM_MILLIS - ageMillis
        return if (remainingMillis > 0) workerClock.plusMillis(remainingMillis) else null
    }

    private fun learn(confirmation: Confirmation) {
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
        /** Greatest age of a view that a start may rely on. */
        public const val PERMISSION_AGE_MAXIMUM_MILLIS: Long = 3_000

        /** An older statement of a peer is of no use to anybody, and is ignored. */
        private const val PEER_AGE_MAXIMUM_MILLIS = 600_000L

        /** Confirmations kept until their records are folded; newer ones replace older. */
        private const val PENDING_MAXIMUM = 16
    }
}

/** A head of the configuration stream that was confirmed [ageMillis] ago. */
public data class HeadStatement(
    val head: FencingToken,
    val ageMillis: Long,
)

private data class Confirmation(
    val head: FencingToken,
    val asOf: Timestamp,
)
