/*
 * Records of the configuration stream. A record's position in the stream is the version it creates. Each carries
 * the version that its author had seen, so that of two racing operators the second gets a conflict.
 */
package org.greengagepass.core.version

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.TeamName

/** One change of the configuration. */
@Serializable
public sealed class ConfigurationRecord {
    /** Operator who made the change. */
    public abstract val operator: String

    /** Key that the caller gave for this write; a repeated one changes nothing. */
    public abstract val idempotencyKey: String

    /** A profile was published or revised; [expectedVersion] is [FencingToken.NONE] for a new one. */
    @Serializable
    @SerialName("profile")
    public data class ProfilePublished(
        val profile: Profile,
        val expectedVersion: FencingToken,
        override val operator: String,
        override val idempotencyKey: String,
    ) : ConfigurationRecord()

    /** A profile was withdrawn. */
    @Serializable
    @SerialName("profileWithdrawn")
    public data class ProfileWithdrawn(
        val name: ProfileName,
        val expectedVersion: FencingToken,
        override val operator: String,
        override val idempotencyKey: String,
    ) : ConfigurationRecord()

    /** A failure domain was taken out of service. */
    @Serializable
    @SerialName("out")
    public data class FailureDomainOut(
        val failureDomain: FailureDomainName,
        val reason: String,
        val expectedVersion: FencingToken?,
        override val operator: String,
        override val idempotencyKey: String,
        val recordedAtEpochMillis: Long,
    ) : ConfigurationRecord()

    /** A failure domain was put back into service. */
    @Serializable
    @SerialName("in")
    public data class FailureDomainIn(
        val failureDomain: FailureDomainName,
        val reason: String,
        val expectedVersion: FencingToken?,
        override val operator: String,
        override val idempotencyKey: String,
        val recordedAtEpochMillis: Long,
    ) : ConfigurationRecord()

    /** A team's quota was set. */
    @Serializable
    @SerialName("quota")
    public data class QuotaSet(
        val team: TeamName,
        val quota: Quota,
        val expectedVersion: FencingToken,
        override val operator: String,
        override val idempotencyKey: String,
    ) : ConfigurationRecord()
}

/** What a team may have running at a time. */
@Serializable
public data class Quota(
    val running: Resources,
    val requestsPerSecond: Int,
)

/** What one append to the configuration stream writes: records of one writer in the order of [sequence]. */
@Serializable
public data class ConfigurationBatch(
    val writer: String,
    val sequence: Long,
    val records: List<ConfigurationRecord>,
)
