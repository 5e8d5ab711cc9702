/*
 * HTTP calls by which callers send requests.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.post
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import org.greengagepass.core.ProfileName
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.ServiceClass
import org.greengagepass.entry.process.MonotonicClock
import org.greengagepass.entry.version.ConfigurationService
import java.util.UUID

/** Executes requests. */
public fun interface RequestService {
    /** Executes [request] and returns its outcome. */
    public suspend fun execute(request: CallerRequest): RequestOutcome
}

/** Routes by which callers send requests. */
public class CallerRoutes(
    private val configuration: ConfigurationService,
    private val requests: RequestService,
    private val decisions: CoroutineDispatcher,
    private val clock: MonotonicClock,
) {
    /** Adds the routes to [route]. */
    public fun install(route: Route) {
        route.post("/v1/services/{service}/requests") { call.executeRequest() }
    }

    private suspend fun ApplicationCall.executeRequest() {
        val arrival = clock.now()
        val requestId = record?.requestId ?: UUID.randomUUID().toString()
        record?.service = parameters["service"]
        val accepted =
            receiveChecked().flatMap { body ->
                withContext(decisions) { profileOf(body) }.flatMap { profile ->
                    deadlineMillis(body, profile).map { deadlineMillis ->
                        CallerRequest(
                            requestId = RequestId(requestId),
                            idempotencyKey = request.headers["Idempotency-Key"],
                            traceparent = record?.span?.traceparent.orEmpty(),
                            team = TeamName(body.team),
                            service = ServiceName(parameters["service"].orEmpty()),
                            operation = WorkKind(body.operation),
                            profile = profile,
                            body = body.body,
                            deadline = arrival.plusMillis(deadlineMillis),
                        )
                    }
                }
            }
        when (accepted) {
            is Either.Left -> respondError(accepted.value, requestId)
            is Either.Right -> respondOutcome(withContext(decisions) { requests.execute(accepted.value) }, requestId)
        }
    }

    private suspend fun ApplicationCall.receiveChecked(): Either<ApiError, RequestBody> =
        checkHeaders("Request-Id", "Idempotency-Key")
            .flatMap { receiveJson(RequestBody.serializer()) }
            .flatMap { body ->
                checkNames(
                    "service" to parameters["service"].orEmpty(),
                    "team" to body.team,
                    "operation" to body.operation,
                ).map { body }
            }

    private suspend fun ApplicationCall.respondOutcome(
        outcome: RequestOutcome,
        requestId: String,
    ) {
        record?.code = outcome.code
        respondJson(ApiResult.serializer(), outcome.toResult(requestId), outcome.code.httpStatus())
    }

    private fun profileOf(body: RequestBody): Either<ApiError, Profile> {
        val profile = configuration.view.profiles[ProfileName(body.profile)]?.profile
        return when (profile?.serviceClass) {
            null ->
                ApiError(
                    ResultCode.UNKNOWN_PROFILE,
                    "profile ${body.profile} does not exist; publish it first",
                ).left()

            ServiceClass.QUICK, ServiceClass.AT_MOST_ONCE -> profile.right()

            ServiceClass.BATCH, ServiceClass.STANDING ->
                ApiError(
                    ResultCode.INVALID_VALUE,
                    "profile ${body.profile} is for tasks; submit tasks under /v1/tasks",
                ).left()
        }
    }

    private fun deadlineMillis(
        body: RequestBody,
        profile: Profile,
    ): Either<ApiError, Long> {
        val millis = body.deadlineMillis ?: profile.deadlineMillis
        return when {
            millis <= 0 ->
                ApiError(ResultCode.DEADLINE_EXPIRED, "deadlineMillis is $millis; it must be positive").left()

            else -> millis.coerceAtMost(profile.deadlineMillis).right()
        }
    }
}
