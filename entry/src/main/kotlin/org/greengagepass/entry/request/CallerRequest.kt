/*
 * A caller's request as it is received and as it is executed.
 */
package org.greengagepass.entry.request

import kotlinx.serialization.Serializable
import org.greengagepass.core.RequestId
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TeamName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.version.Profile

/** Body of a call that sends a request. */
@Serializable
public data class RequestBody(
    val team: String,
    val profile: String,
    val operation: String,
    val body: String = "",
    val deadlineMillis: Long? = null,
)

/** A request with its profile, its identity, and its deadline on this process's clock. */
public data class CallerRequest(
    val requestId: RequestId,
    val idempotencyKey: String?,
    val traceparent: String,
    val team: TeamName,
    val service: ServiceName,
    val operation: WorkKind,
    val profile: Profile,
    val body: String,
    val deadline: Timestamp,
)
