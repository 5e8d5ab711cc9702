/*
 * Polls the executor while connected to a leader: extends the lease up to the time that the leader has granted, and
 * reports what the executor holds. Confined to the agent's dispatcher.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot

/** The lease that one leader has granted to one incarnation of the host. */
internal class GrantedLease(
    val incarnation: HostIncarnation,
    val epoch: Epoch,
) {
    /** Reading of the host's clock until which it may hold its tasks, or null before the first grant. */
    var leaseUntilHostClock: Long? = null

    /** The scheduler has stored the ends of runs up to this number. */
    var acknowledgedEnds: Long = 0

    /** Context of an executor call under this lease. */
    fun callContext() = ExecutorCallContext(incarnation, epoch, leaseUntilHostClock)
}

/** Polls [executor] and passes each result to [sendReport], or the incarnation that did not answer to [onFailure]. */
internal class ExecutorPoller(
    private val executor: ExecutorClient,
    private val onFailure: (HostIncarnation, ExecutorFailure) -> Unit = { _, _ -> },
    private val sendReport: (HostReport) -> Unit,
) {
    private val replies = Channel<Unit>(Channel.CONFLATED)

    /** Number of the most recently started poll. */
    var pollNumber: Long = 0
        private set

    /** Notes that the scheduler has replied to the last report. */
    fun onReply() {
        replies.trySend(Unit)
    }

    /** Polls under [lease] while [isCurrent] is true. */
    suspend fun run(
        lease: GrantedLease,
        isCurrent: () -> Boolean,
    ) {
        var waitMillis = 0L
        while (isCurrent()) {
            pollNumber += 1
            val number = pollNumber
            val result = executor.poll(lease.callContext().copy(isDue = isCurrent), lease.acknowledgedEnds, waitMillis)
            if (!isCurrent()) return
            while (replies.tryReceive().isSuccess) Unit
            val snapshot = result.onLeft { onFailure(lease.incarnation, it) }.getOrNull()
            // The heartbeat of a later incarnation that has answered may not have arrived yet.
            snapshot?.takeIf { it.mayBeOf(lease.incarnation) }?.let { sendReport(reportOf(lease, number, it)) }
            // The executor answers at once while it has unacknowledged ends, so wait for the acknowledgement first.
            val hasUnacknowledgedEnds = (snapshot?.ends?.lastOrNull()?.number ?: 0) > lease.acknowledgedEnds
            awaitReplies(
                lease,
                snapshot,
                if (hasUnacknowledgedEnds || snapshot == null) ENDS_TIMEOUT_MILLIS else GRANT_TIMEOUT_MILLIS,
            )
            waitMillis = if (snapshot == null) 0 else POLL_WAIT_MILLIS
        }
    }

    private suspend fun awaitReplies(
        lease: GrantedLease,
        snapshot: ExecutorSnapshot?,
        timeoutMillis: Long,
    ) {
        val lastEnd = snapshot?.ends?.lastOrNull()?.number ?: 0
        withTimeoutOrNull(timeoutMillis) {
            do {
                replies.receive()
            } while (lease.acknowledgedEnds < lastEnd)
        }
    }

    private fun reportOf(
        lease: GrantedLease,
        number: Long,
        snapshot: ExecutorSnapshot,
    ) = HostReport(
        incarnation = lease.incarnation,
        pollNumber = number,
        clockMillis = snapshot.clockMillis,
        running = snapshot.running,
        ends = snapshot.ends,
        listsAllEnds = snapshot.listsAllEnds,
    )

    private companion object {
        /** The lease is extended at least this often; it lasts about ten times as long. */
        private const val POLL_WAIT_MILLIS = 400L

        /** A grant takes one round trip between failure domains. */
        private const val GRANT_TIMEOUT_MILLIS = 60L

        /** Storing ends takes a few milliseconds, or much longer when the store is slow. */
        private const val ENDS_TIMEOUT_MILLIS = 200L
    }
}
