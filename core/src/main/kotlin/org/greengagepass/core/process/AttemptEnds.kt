/*
 * Attempts whose end is queued for the log, and attempts whose end is recorded but not yet confirmed to their agents.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.process.TaskRecord.Cancelled
import org.greengagepass.core.process.TaskRecord.Finished
import org.greengagepass.core.process.TaskRecord.Released

/** Queues the ends of attempts and keeps them until the agent has been sent a confirmation that they are recorded. */
internal class AttemptEnds(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
) {
    private val ending = HashMap<FencingToken, HostId>()
    private val recorded = HashMap<HostId, MutableSet<FencingToken>>()

    /** Attempts to checkpoint and stop. */
    val evictions = HashSet<FencingToken>()

    /** Lease end of each attempt, from the grants of this owner. */
    val leases = LeaseTable()

    /** True if the end of [token] is queued: the attempt is no longer started or renewed. */
    fun isEnding(token: FencingToken): Boolean = token in ending

    /**
     * True if the attempt has certainly ended: the lease from this owner has expired, and no earlier owner can have
     * granted a longer one. If [isHostFenced], the host has accepted this owner's epoch and rejects grants of earlier
     * owners.
     */
    fun hasExpired(
        attempt: Attempt,
        isHostFenced: Boolean,
    ): Boolean {
        val end = leases.endOf(attempt.token)
        val isOwn = isOwn(attempt)
        val isOwnLeaseExpired = if (end == null) isOwn || !isHostFenced else context.now >= end
        return isOwnLeaseExpired && (isOwn || isHostFenced || context.now >= ownership.earlierLeasesEndAt)
    }

    /** True if this owner assigned [attempt], so no earlier owner can grant anything for it. */
    fun isOwn(attempt: Attempt): Boolean = ownership.isOwnToken(attempt.token)

    /** Queues a record that the attempt of [task] ended for [reason] without finishing it. */
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
        queueEnd(attempt, record)
    }

    /** Queues a record that the attempt finished [task]. */
    fun finish(
        task: Task,
        attempt: Attempt,
        result: String,
    ) = queueEnd(attempt, Finished(context.epoch, task.id, attempt.token, result))

    /**
     * Marks [token] on [host] as no longer current, so that the next grant lists it as recorded. A token whose record
     * has not been read was assigned by a newer owner and may be current.
     */
    fun markRecorded(
        host: HostId,
        token: FencingToken,
    ) {
        if (context.state.hasRead(token)) {
            recorded.getOrPut(host) { HashSet() } += token
        }
    }

    /** The tokens to list as recorded in the next grant to [host]. */
    fun takeRecorded(host: HostId): Set<FencingToken> = recorded.remove(host).orEmpty()

    /** Handles that the end of [token] was read back. */
    fun ended(token: FencingToken) {
        ending.remove(token)?.let { markRecorded(it, token) }
        evictions -= token
        leases.remove(token)
    }

    fun clear() {
        ending.clear()
        recorded.clear()
        evictions.clear()
        leases.clear()
    }

    private fun queueEnd(
        attempt: Attempt,
        record: TaskRecord,
    ) {
        if (context.appender.offer(record)) {
            ending[attempt.token] = attempt.host
        }
    }
}
