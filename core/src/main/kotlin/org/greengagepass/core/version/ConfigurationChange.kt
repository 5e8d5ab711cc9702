/*
 * Condition and effect of one configuration record.
 */
package org.greengagepass.core.version

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken

/**
 * Evaluates the condition of [record] at [position]. A record takes effect if its item has not changed since the
 * version that its author had seen.
 */
internal fun ConfigurationView.evaluate(
    record: ConfigurationRecord,
    position: FencingToken,
): Verdict {
    val expected = record.expectedVersion()
    val actual = versionOf(record)
    return when {
        expected == null || expected == actual -> Verdict.Accepted(position)
        else -> Verdict.Conflict(expectedVersion = expected, actualVersion = actual)
    }
}

/** Returns this configuration with the change of [record] applied, as version [position]. */
internal fun ConfigurationView.apply(
    record: ConfigurationRecord,
    position: FencingToken,
): ConfigurationView =
    when (record) {
        is ConfigurationRecord.ProfilePublished -> {
            val published = PublishedProfile(record.profile, position, record.operator)
            copy(version = position, profiles = profiles + (record.profile.name to published))
        }
        is ConfigurationRecord.ProfileWithdrawn -> copy(version = position, profiles = profiles - record.name)
        is ConfigurationRecord.QuotaSet -> {
            val published = PublishedQuota(record.quota, position, record.operator)
            copy(version = position, quotas = quotas + (record.team to published))
        }
        is ConfigurationRecord.FailureDomainOut ->
            withChange(record.failureDomain, record.toChange(isOut = true, position))
        is ConfigurationRecord.FailureDomainIn ->
            withChange(record.failureDomain, record.toChange(isOut = false, position))
    }

private fun ConfigurationView.withChange(
    name: FailureDomainName,
    change: FailureDomainChange,
): ConfigurationView {
    val status = failureDomains[name]?.with(change) ?: FailureDomainStatus(name, listOf(change))
    return copy(version = change.version, failureDomains = failureDomains + (name to status))
}

/** Current version of the item that [record] changes, or [FencingToken.NONE] if there is no such item. */
private fun ConfigurationView.versionOf(record: ConfigurationRecord): FencingToken =
    when (record) {
        is ConfigurationRecord.ProfilePublished -> profiles[record.profile.name]?.version
        is ConfigurationRecord.ProfileWithdrawn -> profiles[record.name]?.version
        is ConfigurationRecord.QuotaSet -> quotas[record.team]?.version
        is ConfigurationRecord.FailureDomainOut -> failureDomains[record.failureDomain]?.latest?.version
        is ConfigurationRecord.FailureDomainIn -> failureDomains[record.failureDomain]?.latest?.version
    } ?: FencingToken.NONE

/** Version that the author of the record had seen, or null if the change is unconditional. */
internal fun ConfigurationRecord.expectedVersion(): FencingToken? =
    when (this) {
        is ConfigurationRecord.ProfilePublished -> expectedVersion
        is ConfigurationRecord.ProfileWithdrawn -> expectedVersion
        is ConfigurationRecord.QuotaSet -> expectedVersion
        is ConfigurationRecord.FailureDomainOut -> expectedVersion
        is ConfigurationRecord.FailureDomainIn -> expectedVersion
    }

private fun ConfigurationRecord.FailureDomainOut.toChange(
    isOut: Boolean,
    position: FencingToken,
): FailureDomainChange = FailureDomainChange(isOut, position, operator, reason, recordedAtEpochMillis)

private fun ConfigurationRecord.FailureDomainIn.toChange(
    isOut: Boolean,
    position: FencingToken,
): FailureDomainChange = FailureDomainChange(isOut, position, operator, reason, recordedAtEpochMillis)
