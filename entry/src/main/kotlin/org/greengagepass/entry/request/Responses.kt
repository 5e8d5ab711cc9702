/*
 * Answers of the HTTP interface.
 */
package org.greengagepass.entry.request

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.respondText
import kotlinx.serialization.KSerializer

/** Answers with [value] as JSON. */
public suspend fun <T> ApplicationCall.respondJson(
    serializer: KSerializer<T>,
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) {
    respondText(apiJson.encodeToString(serializer, value), ContentType.Application.Json, status)
}

/** Answers with [error] and its HTTP status. */
public suspend fun ApplicationCall.respondError(
    error: ApiError,
    requestId: String? = null,
) {
    record?.code = error.code
    respondJson(ApiResult.serializer(), error.toResult(requestId ?: record?.requestId), error.code.httpStatus())
}
