/*
 * Requests without an outcome, and the entries that their answers go to.
 */
package org.greengagepass.agent.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.connection.HandledRequests
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.EntryMessage.Dispatch

/** Pending requests, whose ends are noted in [handled]. */
internal class PendingRequests(
    private val handled: HandledRequests,
) {
    private val pending = HashMap<RequestId, PendingRequest>()

    /** [dispatch] came from [entry] and was taken. */
    fun add(
        entry: String,
        dispatch: Dispatch,
    ) {
        pending[dispatch.requestId] = PendingRequest(entry, dispatch)
    }

    /** The dispatch of a pending request. */
    fun dispatch(requestId: RequestId): Dispatch? = pending[requestId]?.dispatch

    /** The answer goes to [entry] from now on. */
    fun redirect(
        requestId: RequestId,
        entry: String,
    ) {
        pending[requestId]?.entry = entry
    }

    /** The request has ended with [outcome], unless it had ended before. */
    fun end(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): List<RequestAction> = handled.end(requestId, outcome)?.let { answer(requestId, it) }.orEmpty()

    /** The answer to a request that has ended already. */
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
