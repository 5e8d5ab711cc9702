/*
 * Records of the configuration stream. A record's position in the stream is the version that it creates. Each record
 * carries the version that its author had seen, so that the second of two concurrent changes gets a conflict.
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

    /** Key that the caller chose for this write. A repeated key has no effect. */
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

/** Limit on the resources that a team may use at a time and on its request rate. */
@Serializable
public data class Quota(
    val running: Resources,
    val requestsPerSecond: Int,
)

/** Records that one append writes to the configuration stream. Batches of one writer are ordered by [sequence]. */
@Serializable
public data class ConfigurationBatch(
    val writer: String,
    val sequence: Long,
    val records: List<ConfigurationRecord>,
)
