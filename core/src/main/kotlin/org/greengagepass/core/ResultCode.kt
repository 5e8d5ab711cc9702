/*
 * Numbered result codes, the same in HTTP answers, messages, logs and metrics. The hundreds digit tells a caller the
 * outcome of the request: 1xx it did not run, 2xx it ran and did not succeed, 3xx it is unknown whether it ran.
 */
package org.greengagepass.core

import kotlinx.serialization.Serializable

private const val FIRST_NOT_RUN_NUMBER = 100
private const val LAST_NOT_RUN_NUMBER = 199

/** Outcome of a request, with a number that is stable across versions. */
@Serializable
public enum class ResultCode(
    public val number: Int,
) {
    OK(number = 0),
    MALFORMED(number = 101),
    UNKNOWN_FIELD(number = 102),
    TOO_LARGE(number = 103),
    UNKNOWN_PROFILE(number = 104),
    DEADLINE_EXPIRED(number = 105),
    OVERLOADED(number = 106),
    QUOTA_EXHAUSTED(number = 107),
    LOG_UNAVAILABLE(number = 108),
    DRAINING(number = 109),
    NO_UPSTREAM(number = 110),
    UNAUTHORISED(number = 111),
    VERSION_CONFLICT(number = 112),
    NOT_FOUND(number = 113),
    KEY_REUSED(number = 114),
    PROTOCOL_VERSION(number = 115),
    FAILURE_DOMAIN_OUT(number = 116),
    HOST_FULL(number = 117),
    STALE_PERMISSION(number = 118),
    NOT_OWNER(number = 119),
    INVALID_VALUE(number = 120),
    UPSTREAM_ERROR(number = 201),
    TASK_FAILED(number = 202),
    TASK_CANNOT_RUN(number = 203),
    CANCELLED(number = 204),
    AGENT_LOST(number = 301),
    DEADLINE_PASSED(number = 302),
    APPEND_NOT_CONFIRMED(number = 303),
    OWNER_LOST(number = 304),
    INTERNAL(number = 401),
    ;

    /** True if the code proves that nothing ran. */
    public val provesNotRun: Boolean
        get() = number in FIRST_NOT_RUN_NUMBER..LAST_NOT_RUN_NUMBER
}
