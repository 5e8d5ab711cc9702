/*
 * Requests without an outcome, and the entries that receive their answers.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.connection.HandledRequests
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.EntryMessage.Dispatch

/** Pending requests. Their outcomes are recorded in [handled]. */
internal class PendingRequests(
    private val handled: HandledRequests,
) {
    private val pending = HashMap<RequestId, PendingRequest>()

    /** Adds the accepted [dispatch] of [entry]. */
    fun add(
        entry: String,
        dispatch: Dispatch,
    ) {
        pending[dispatch.requestId] = PendingRequest(entry, dispatch)
    }

    /** Returns the dispatch of a pending request. */
    fun dispatch(requestId: RequestId): Dispatch? = pending[requestId]?.dispatch

    /** Sends the answer of a request to [entry] instead of the entry that dispatched it. */
    fun redirect(
        requestId: RequestId,
        entry: String,
    ) {
        pending[requestId]?.entry = entry
    }

    /** Ends a request with [outcome] unless it has already ended. */
    fun end(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): List<RequestAction> = handled.end(requestId, outcome)?.let { answer(requestId, it) }.orEmpty()

    /** Returns the answer to a request that has already ended. */
    fun answer(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): List<RequestAction> =
        pending.remove(requestId)?.let { listOf(RequestAction.Answer(it.entry, requestId, outcome)) }.orEmpty()
}

private class PendingRequest(
    var entry: String,
    val dispatch: Dispatch,
)
