/*
 * Conversion of a caller's request to the form for the core and the form for agents.
 */
package org.greengagepass.entry.request

import org.greengagepass.core.RequestId
import org.greengagepass.core.request.EntryAction
import org.greengagepass.core.request.RequestDescription
import org.greengagepass.core.version.ServiceClass
import org.greengagepass.protocol.connection.EntryMessage

/** This request for the core, with the identifier [requestId] that this entry has assigned. */
internal fun CallerRequest.describe(requestId: RequestId): RequestDescription =
    RequestDescription(
        requestId = requestId,
        service = service,
        idempotent = profile.serviceClass == ServiceClass.QUICK,
        deadline = deadline,
        priority = profile.priority,
        retryLimit = profile.retryLimit,
    )

/** This request as a message for the agent in [action]. */
internal fun CallerRequest.toDispatch(
    action: EntryAction.Dispatch,
    traceparent: String,
): EntryMessage.Dispatch =
    EntryMessage.Dispatch(
        requestId = action.attempt.wireId,
        traceparent = traceparent,
        service = service,
        operation = operation,
        body = body,
        deadlineAgentClock = action.deadlineAgentClock,
        idempotent = action.request.idempotent,
        priority = action.request.priority,
    )
