/*
 * Validation of what operators submit, before it is appended. The fold does not repeat these checks: processes of
 * different versions fold the same stream, and must have the same state even if their limits differ.
 */
package org.greengagepass.core.version

import arrow.core.EitherNel
import arrow.core.left
import arrow.core.right
import arrow.core.toNonEmptyListOrNull
import org.greengagepass.core.ResultCode
import org.greengagepass.core.connection.HandledRequests

/** One fault of a submitted value. */
public data class ValidationFault(
    val field: String,
    val detail: String,
    val code: ResultCode = ResultCode.INVALID_VALUE,
)

/** Limits of profiles and quotas, and the checks against them. */
public object ConfigurationValidation {
    /** Longest name of a profile, team or failure domain. */
    public const val NAME_LENGTH_MAXIMUM: Int = 128

    /** Maximum number of retries. */
    public const val RETRY_LIMIT_MAXIMUM: Int = 2

    /** Longest deadline of a task: one year, since a task may watch for an opening date that far ahead. */
    public const val TASK_DEADLINE_MAXIMUM_MILLIS: Long = 366L * 24 * 3_600_000

    /** Maximum processor time of a quota: one million cores. */
    public const val MILLI_CORES_MAXIMUM: Long = 1_000_000_000

    /** Maximum memory of a quota: ten million gigabytes. */
    public const val MEMORY_MEGABYTES_MAXIMUM: Long = 10_000_000_000

    /** Maximum number of accelerators of a quota. */
    public const val ACCELERATORS_MAXIMUM: Int = 1_000_000

    /** Maximum number of requests per second of a quota. */
    public const val REQUESTS_PER_SECOND_MAXIMUM: Int = 1_000_000

    private val NAME_PATTERN = Regex("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]*")

    /** Returns [profile], or all faults found in it. */
    public fun validate(profile: Profile): EitherNel<ValidationFault, Profile> =
        result(
            profile,
            nameFault("name", profile.name.value),
            rangeFault("latencyObjectiveMillis", profile.latencyObjectiveMillis, 1..longestDeadline(profile)),
            rangeFault("deadlineMillis", profile.deadlineMillis, 1..longestDeadline(profile)),
            rangeFault("retryLimit", profile.retryLimit.toLong(), 0L..RETRY_LIMIT_MAXIMUM),
        )

    /** Returns [quota], or all faults found in it. */
    public fun validate(quota: Quota): EitherNel<ValidationFault, Quota> =
        result(
            quota,
            rangeFault("running.milliCores", quota.running.milliCores, 0..MILLI_CORES_MAXIMUM),
            rangeFault("running.memoryMegabytes", quota.running.memoryMegabytes, 0..MEMORY_MEGABYTES_MAXIMUM),
            rangeFault("running.accelerators", quota.running.accelerators.toLong(), 0L..ACCELERATORS_MAXIMUM),
            rangeFault("requestsPerSecond", quota.requestsPerSecond.toLong(), 0L..REQUESTS_PER_SECOND_MAXIMUM),
        )

    /** Returns the [name] of a profile, team or failure domain, or the fault found in it. */
    public fun validateName(
        field: String,
        name: String,
    ): EitherNel<ValidationFault, String> = result(name, nameFault(field, name))

    private fun <T> result(
        value: T,
        vararg faults: ValidationFault?,
    ): EitherNel<ValidationFault, T> = faults.filterNotNull().toNonEmptyListOrNull()?.left() ?: value.right()

    private fun longestDeadline(profile: Profile): Long =
        when (profile.serviceClass) {
            ServiceClass.QUICK, ServiceClass.AT_MOST_ONCE -> HandledRequests.DISPATCH_DEADLINE_MAXIMUM_MILLIS
            ServiceClass.BATCH, ServiceClass.STANDING -> TASK_DEADLINE_MAXIMUM_MILLIS
        }

    private fun nameFault(
        field: String,
        name: String,
    ): ValidationFault? {
        val detail = "must be 1 to $NAME_LENGTH_MAXIMUM letters, digits, dots, hyphens or underscores, not '$name'"
        val isValid = name.length <= NAME_LENGTH_MAXIMUM && NAME_PATTERN.matches(name)
        return if (isValid) null else ValidationFault(field, detail)
    }

    private fun rangeFault(
        field: String,
        value: Long,
        range: LongRange,
    ): ValidationFault? =
        if (value in range) {
            null
        } else {
            ValidationFault(field, "must be ${range.first} to ${range.last}, not $value")
        }
}
