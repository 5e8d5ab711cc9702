/*
 * HTTP calls by which operators publish profiles, set quotas, and take failure domains out of service and back. Changes
 * carry an idempotency key and the version that the operator has seen.
 */
package org.greengagepass.entry.version

import arrow.core.Either
import arrow.core.flatMap
import io.ktor.server.application.ApplicationCall
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.withContext
import kotlinx.serialization.KSerializer
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ProfileName
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TeamName
import org.greengagepass.core.version.ConfigurationRecord
import org.greengagepass.core.version.ConfigurationValidation
import org.greengagepass.core.version.FailureDomainStatus
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.PublishedProfile
import org.greengagepass.core.version.Quota
import org.greengagepass.entry.request.ApiError
import org.greengagepass.entry.request.checkHeaders
import org.greengagepass.entry.request.pageRequest
import org.greengagepass.entry.request.receiveJson
import org.greengagepass.entry.request.respondError
import org.greengagepass.entry.request.respondJson
import org.greengagepass.entry.request.respondPage
import org.greengagepass.entry.request.toApi
import java.util.UUID

/** Routes that read and change [configuration], which runs on [decisions]. */
public class AdministrationRoutes(
    private val configuration: ConfigurationService,
    private val decisions: CoroutineDispatcher,
    private val epochMillis: () -> Long = System::currentTimeMillis,
) {
    /** Adds the routes to [route]. */
    public fun install(route: Route) {
        route.get("/v1/profiles") {
            call.respondList(
                PublishedProfile.serializer(),
                configuration.view.profiles.values,
            ) { it.profile.name.value }
        }
        route.get("/v1/profiles/{name}") { call.respondProfile() }
        route.put("/v1/profiles/{name}") { call.publishProfile() }
        route.get("/v1/failure-domains") {
            call.respondList(
                FailureDomainStatus.serializer(),
                configuration.view.failureDomains.values,
            ) { it.name.value }
        }
        route.post("/v1/failure-domains/{name}/out") { call.changeFailureDomain(isOut = true) }
        route.post("/v1/failure-domains/{name}/in") { call.changeFailureDomain(isOut = false) }
        route.get("/v1/quotas") { call.respondList(QuotaView.serializer(), quotas()) { it.team } }
        route.put("/v1/quotas/{name}") { call.setQuota() }
    }

    private suspend fun ApplicationCall.respondProfile() {
        val profile = configuration.view.profiles[ProfileName(name())]
        if (profile == null) {
            respondError(ApiError(ResultCode.NOT_FOUND, "profile ${name()} does not exist"))
        } else {
            respondJson(PublishedProfile.serializer(), profile)
        }
    }

    private suspend fun ApplicationCall.publishProfile() =
        publish(ProfileBody.serializer()) { body ->
            ConfigurationValidation.validate(body.toProfile(ProfileName(name()))).toApi().map { profile ->
                ConfigurationRecord.ProfilePublished(
                    profile = profile,
                    expectedVersion = FencingToken(body.expectedVersion),
                    operator = operator(),
                    idempotencyKey = idempotencyKey(),
                )
            }
        }

    private suspend fun ApplicationCall.setQuota() =
        publish(QuotaBody.serializer()) { body ->
            ConfigurationValidation
                .validateName(field = "team", name = name())
                .flatMap { ConfigurationValidation.validate(body.toQuota()) }
                .toApi()
                .map { quota ->
                    ConfigurationRecord.QuotaSet(
                        team = TeamName(name()),
                        quota = quota,
                        expectedVersion = FencingToken(body.expectedVersion),
                        operator = operator(),
                        idempotencyKey = idempotencyKey(),
                    )
                }
        }

    private suspend fun ApplicationCall.changeFailureDomain(isOut: Boolean) =
        publish(FailureDomainBody.serializer()) { body ->
            ConfigurationValidation
                .validateName(field = "failureDomain", name = name())
                .toApi()
                .map { if (isOut) failureDomainOut(body) else failureDomainIn(body) }
        }

    private fun ApplicationCall.failureDomainOut(body: FailureDomainBody): ConfigurationRecord =
        ConfigurationRecord.FailureDomainOut(
            failureDomain = FailureDomainName(name()),
            reason = body.reason,
            expectedVersion = body.expectedVersion?.let(::FencingToken),
            operator = operator(),
            idempotencyKey = idempotencyKey(),
            recordedAtEpochMillis = epochMillis(),
        )

    private fun ApplicationCall.failureDomainIn(body: FailureDomainBody): ConfigurationRecord =
        ConfigurationRecord.FailureDomainIn(
            failureDomain = FailureDomainName(name()),
            reason = body.reason,
            expectedVersion = body.expectedVersion?.let(::FencingToken),
            operator = operator(),
            idempotencyKey = idempotencyKey(),
            recordedAtEpochMillis = epochMillis(),
        )

    private suspend fun <T> ApplicationCall.publish(
        serializer: KSerializer<T>,
        toRecord: (T) -> Either<ApiError, ConfigurationRecord>,
    ) {
        val headers = checkHeaders("Operator", "Idempotency-Key")
        val record = headers.flatMap { receiveJson(serializer) }.flatMap(toRecord)
        val result = record.flatMap { withContext(decisions) { configuration.publish(it) } }
        when (result) {
            is Either.Left -> respondError(result.value)
            is Either.Right -> respondJson(VersionResult.serializer(), VersionResult(result.value.value))
        }
    }

    private fun quotas(): List<QuotaView> =
        configuration.view.quotas.map { (team, set) -> QuotaView(team.value, set.quota, set.version, set.operator) }

    private suspend fun <T> ApplicationCall.respondList(
        serializer: KSerializer<T>,
        items: Collection<T>,
        nameOf: (T) -> String,
    ) = respondPage(serializer, pageRequest().map { it.of(items.asSequence(), nameOf) })
}

private fun ApplicationCall.name(): String = parameters["name"].orEmpty()

private fun ApplicationCall.operator(): String = request.headers["Operator"] ?: "unnamed"

private fun ApplicationCall.idempotencyKey(): String =
    request.headers["Idempotency-Key"] ?: UUID.randomUUID().toString()

private fun ProfileBody.toProfile(name: ProfileName): Profile =
    Profile(
        name = name,
        serviceClass = serviceClass,
        priority = priority,
        latencyObjectiveMillis = latencyObjectiveMillis,
        evictable = evictable,
        throttleable = throttleable,
        retryLimit = retryLimit,
        deadlineMillis = deadlineMillis,
    )

private fun QuotaBody.toQuota(): Quota =
    Quota(
        running = Resources(milliCores, memoryMegabytes, accelerators),
        requestsPerSecond = requestsPerSecond,
    )
