/*
 * Bodies of the administration interface.
 */
package org.greengagepass.entry.version

import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken
import org.greengagepass.core.version.Priority
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.Quota
import org.greengagepass.core.version.ServiceClass

/** A profile to publish; [expectedVersion] is -1 for a new one. */
@Serializable
public data class ProfileBody(
    val expectedVersion: Long = -1,
    val serviceClass: ServiceClass,
    val priority: Priority = Priority.NORMAL,
    val latencyObjectiveMillis: Long = Profile.DEFAULT_LATENCY_OBJECTIVE_MILLIS,
    val evictable: Boolean = true,
    val throttleable: Boolean = true,
    val retryLimit: Int = Profile.DEFAULT_RETRY_LIMIT,
    val deadlineMillis: Long = Profile.DEFAULT_DEADLINE_MILLIS,
)

/** Why a failure domain is taken out of service or put back, and the version that the operator has seen. */
@Serializable
public data class FailureDomainBody(
    val reason: String,
    val expectedVersion: Long? = null,
)

/** A quota to set; [expectedVersion] is -1 for a new one. */
@Serializable
public data class QuotaBody(
    val expectedVersion: Long = -1,
    val milliCores: Long,
    val memoryMegabytes: Long,
    val accelerators: Int = 0,
    val requestsPerSecond: Int,
)

/** Version that an accepted change has created. */
@Serializable
public data class VersionResult(
    val version: Long,
)

/** The quota of [team] with the version and the operator that set it. */
@Serializable
public data class QuotaView(
    val team: String,
    val quota: Quota,
    val version: FencingToken,
    val operator: String,
)
