/*
 * Looks at the executor again and again while a scheduler leads, extends the lease as far as that one has granted,
 * and reports what is there. Confined to the agent's dispatcher.
 */
package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorSnapshot

/** What one scheduler has granted to one life of the host. */
internal class GrantedLease(
    val incarnation: HostIncarnation,
    val epoch: Epoch,
) {
    /** Reading of the host's clock until which its tasks may be held, or null before the first grant. */
    var leaseUntilHostClock: Long? = null

    /** Ends up to this number are stored. */
    var acknowledgedEnds: Long = 0

    /** The call that this grant allows now. */
    fun call() = ExecutorCallContext(incarnation, epoch, leaseUntilHostClock)
}

/** Looks at [host]; [report] gets what is there. */
internal class ExecutorPoller(
    private val host: ExecutorClient,
    private val report: (HostReport) -> Unit,
) {
    private val answered = Channel<Unit>(Channel.CONFLATED)

    /** Number of the last look that was begun. */
    var pollNumber: Long = 0
        private set

    /** The scheduler has answered the last report. */
    fun onAnswer() {
        answered.trySend(Unit)
    }

    /** Looks while [isCurrent]. */
    suspend fun run(
        grant: GrantedLease,
        isCurrent: () -> Boolean,
    ) {
        var waitMillis = 0L
        while (isCurrent()) {
            pollNumber += 1
            val number = pollNumber
            val view = host.poll(grant.call(), grant.acknowledgedEnds, waitMillis).getOrNull()
            if (!isCurrent()) return
            while (answered.tryReceive().isSuccess) Unit
            view?.let { report(describe(grant, number, it)) }
            // With ends that are not acknowledged the executor answers at once, so the acknowledgement is awaited.
            val hasOpenEnds = (view?.ends?.lastOrNull()?.number ?: 0) > grant.acknowledgedEnds
            awaitAnswers(grant, view, if (hasOpenEnds || view == null) OPEN_ENDS_MILLIS else GRANT_MILLIS)
            waitMillis = POLL_WAIT_MILLIS
        }
    }

    private suspend fun awaitAnswers(
        grant: GrantedLease,
        view: ExecutorSnapshot?,
        timeoutMillis: Long,
    ) {
        val lastEnd = view?.ends?.lastOrNull()?.number ?: 0
        withTimeoutOrNull(timeoutMillis) {
            do {
                answered.receive()
            } while (grant.acknowledgedEnds < lastEnd)
        }
    }

    private fun describe(
        grant: GrantedLease,
        number: Long,
        view: ExecutorSnapshot,
    ) = HostReport(
        incarnation = grant.incarnation,
        pollNumber = number,
        clockMillis = view.clockMillis,
        running = view.running,
        ends = view.ends,
        listsAllEnds = view.listsAllEnds,
    )

    private companion object {
        /** The lease is extended this often at least; it lasts about ten times as long. */
        private const val POLL_WAIT_MILLIS = 400L

        /** A grant takes one round trip between failure domains. */
        private const val GRANT_MILLIS = 60L

        /** Storing ends takes a few milliseconds, but may take long when the store is slow. */
        private const val OPEN_ENDS_MILLIS = 200L
    }
}
