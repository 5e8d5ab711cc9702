/*
 * The body of all answers of the HTTP interface that carry no other data: a numbered code, its name, and a sentence
 * that says what happened or what to change.
 */
package org.greengagepass.entry.request

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.Serializable
import org.greengagepass.core.ResultCode
import org.greengagepass.core.request.Answer
import org.greengagepass.core.request.RequestOutcome

/** Outcome of a call with its result code. */
@Serializable
public data class ApiResult(
    val code: Int,
    val name: String,
    val outcome: String,
    val detail: String = "",
    val requestId: String? = null,
    val answer: Answer? = null,
)

/** A call that failed with a numbered code. */
public data class ApiError(
    val code: ResultCode,
    val detail: String,
) {
    /** The body of the answer. */
    public fun toResult(requestId: String? = null): ApiResult =
        ApiResult(
            code = code.number,
            name = code.name,
            outcome = outcomeName(code),
            detail = detail,
            requestId = requestId,
        )
}

/** The body of the answer to request [requestId] with this outcome. */
public fun RequestOutcome.toResult(requestId: String): ApiResult =
    when (this) {
        is RequestOutcome.Ran ->
            ApiResult(code.number, code.name, outcome = "ran", requestId = requestId, answer = answer)

        is RequestOutcome.NotRun ->
            ApiResult(code.number, code.name, outcome = "notRun", detail = detail, requestId = requestId)

        is RequestOutcome.Unknown ->
            ApiResult(code.number, code.name, outcome = "unknown", detail = detail, requestId = requestId)
    }

/** The HTTP status for this code. */
public fun ResultCode.httpStatus(): HttpStatusCode =
    when (this) {
        ResultCode.OK,
        -> HttpStatusCode.OK

        ResultCode.MALFORMED, ResultCode.UNKNOWN_FIELD, ResultCode.INVALID_VALUE, ResultCode.PROTOCOL_VERSION,
        -> HttpStatusCode.BadRequest

        ResultCode.TOO_LARGE,
        -> HttpStatusCode.PayloadTooLarge

        ResultCode.UNKNOWN_PROFILE, ResultCode.NOT_FOUND,
        -> HttpStatusCode.NotFound

        ResultCode.UNAUTHORISED,
        -> HttpStatusCode.Unauthorized

        ResultCode.VERSION_CONFLICT, ResultCode.KEY_REUSED,
        -> HttpStatusCode.Conflict

        ResultCode.OVERLOADED, ResultCode.QUOTA_EXHAUSTED,
        -> HttpStatusCode.TooManyRequests

        ResultCode.DEADLINE_EXPIRED,
        -> HttpStatusCode.RequestTimeout

        ResultCode.LOG_UNAVAILABLE, ResultCode.DRAINING, ResultCode.NO_UPSTREAM, ResultCode.FAILURE_DOMAIN_OUT,
        ResultCode.HOST_FULL, ResultCode.STALE_PERMISSION, ResultCode.NOT_OWNER,
        -> HttpStatusCode.ServiceUnavailable

        ResultCode.UPSTREAM_ERROR, ResultCode.TASK_FAILED, ResultCode.TASK_CANNOT_RUN, ResultCode.CANCELLED,
        -> HttpStatusCode.BadGateway

        ResultCode.AGENT_LOST, ResultCode.DEADLINE_PASSED, ResultCode.APPEND_NOT_CONFIRMED, ResultCode.OWNER_LOST,
        -> HttpStatusCode.GatewayTimeout

        ResultCode.INTERNAL,
        -> HttpStatusCode.InternalServerError
    }

/** Whether the work ran according to [code]: ok, notRun, ran or unknown. */
public fun outcomeName(code: ResultCode): String =
    when {
        code == ResultCode.OK -> "ok"
        code.provesNotRun -> "notRun"
        code.httpStatus() == HttpStatusCode.GatewayTimeout || code == ResultCode.INTERNAL -> "unknown"
        else -> "ran"
    }

/** The sentence that explains this outcome; empty if the work ran. */
public fun RequestOutcome.describe(): String =
    when (this) {
        is RequestOutcome.Ran -> ""
        is RequestOutcome.NotRun -> detail
        is RequestOutcome.Unknown -> detail
    }
