/*
 * Attempts whose end is queued for the log, and those whose end the agents have yet to be told is recorded.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.process.TaskRecord.Cancelled
import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.Released

/** Queues the ends of attempts and remembers them until the agent knows that they are recorded. */
internal class AttemptEnds(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
) {
    private val ending = HashMap<FencingToken, HostId>()
    private val recorded = HashMap<HostId, MutableSet<FencingToken>>()

    /** Attempts that are to be checkpointed and stopped. */
    val evictions = HashSet<FencingToken>()

    /** Until when each attempt may run by what this owner granted. */
    val leases = LeaseTable()

    /** True if the end of [token] is queued: the attempt is neither started nor renewed any more. */
    fun isEnding(token: FencingToken): Boolean = token in ending

    /**
     * True if the attempt has certainly ended: what this owner granted is over, and no earlier owner can have
     * granted more. A host that answers this owner takes no grants of earlier ones.
     */
    fun hasLapsed(
        attempt: Attempt,
        hostAnswers: Boolean,
    ): Boolean {
        val end = leases.endOf(attempt.token)
        val isOwn = isOwn(attempt)
        val isOwnLeaseOver = if (end == null) isOwn || !hostAnswers else context.now >= end
        return isOwnLeaseOver && (isOwn || hostAnswers || context.now >= ownership.earlierLeasesEndAt)
    }

    /** True if this owner assigned [attempt], so no earlier owner can grant anything for it. */
    fun isOwn(attempt: Attempt): Boolean = ownership.isOwnToken(attempt.token)

    /** Queues that the attempt of [task] ended for [reason] without finishing it. */
    fun release(
        task: Task,
        attempt: Attempt,
        reason: ReleaseReason,
    ) {
        val record =
            if (task.cancelRequested) {
                Cancelled(context.epoch, task.id)
            } else {
                Released(context.epoch, task.id, attempt.token, reason)
            }
        end(attempt, record)
    }

    /** Queues that the attempt finished [task]. */
    fun finish(
        task: Task,
        attempt: Attempt,
        result: String,
    ) = end(attempt, Finished(context.epoch, task.id, attempt.token, result))

    /**
     * Notes that [token] on [host] is not current any more, so that the agent is told. A token that was not read yet
     * was assigned by a newer owner and may well be current.
     */
    fun record(
        host: HostId,
        token: FencingToken,
    ) {
        if (context.state.hasRead(token)) {
            recorded.getOrPut(host) { HashSet() } += token
        }
    }

    /** The tokens to list as recorded in the next grant to [host]. */
    fun takeRecorded(host: HostId): Set<FencingToken> = recorded.remove(host).orEmpty()

    /** Notes that the end of [token] was read back. */
    fun ended(token: FencingToken) {
        ending.remove(token)?.let { record(it, token) }
        evictions -= token
        leases.remove(token)
    }

    fun clear() {
        ending.clear()
        recorded.clear()
        evictions.clear()
        leases.clear()
    }

    private fun end(
        attempt: Attempt,
        record: TaskRecord,
    ) {
        if (context.appender.offer(record)) {
            ending[attempt.token] = attempt.host
        }
    }
}
