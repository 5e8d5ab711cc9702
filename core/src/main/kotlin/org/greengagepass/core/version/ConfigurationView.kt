/*
 * The configuration at one version, as an immutable value that can be shared by any number of readers.
 */
package org.greengagepass.core.version

import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ProfileName
import org.greengagepass.core.TeamName

/** The configuration after the record at [version]. */
@Serializable
public data class ConfigurationView(
    val version: FencingToken = FencingToken.NONE,
    val profiles: Map<ProfileName, PublishedProfile> = emptyMap(),
    val quotas: Map<TeamName, PublishedQuota> = emptyMap(),
    val failureDomains: Map<FailureDomainName, FailureDomainStatus> = emptyMap(),
) {
    /** Names of the failure domains that are out of service. */
    @Transient
    val failureDomainsOut: Set<FailureDomainName> =
        failureDomains.values
            .filter { it.isOut }
            .map { it.name }
            .toSet()

    /** True if [name] is out of service. A failure domain without a record is in service. */
    public fun isOut(name: FailureDomainName): Boolean = name in failureDomainsOut
}

/** A profile and the version that published it. */
@Serializable
public data class PublishedProfile(
    val profile: Profile,
    val version: FencingToken,
    val operator: String,
)

/** A quota and the version that set it. */
@Serializable
public data class PublishedQuota(
    val quota: Quota,
    val version: FencingToken,
    val operator: String,
)

/** Whether a failure domain is in service, and who changed that and when. */
@Serializable
public data class FailureDomainStatus(
    val name: FailureDomainName,
    val history: List<FailureDomainChange>,
) {
    /** The change that is in force. */
    val latest: FailureDomainChange
        get() = history.last()

    /** True if the failure domain is out of service. */
    val isOut: Boolean
        get() = latest.isOut

    internal fun with(change: FailureDomainChange): FailureDomainStatus =
        copy(history = (history + change).takeLast(HISTORY_MAXIMUM))

    public companion object {
        /** Maximum number of changes kept for each failure domain. The oldest are dropped first. */
        public const val HISTORY_MAXIMUM: Int = 64
    }
}

/** One change of a failure domain's status. */
@Serializable
public data class FailureDomainChange(
    val isOut: Boolean,
    val version: FencingToken,
    val operator: String,
    val reason: String,
    val recordedAtEpochMillis: Long,
)
