/*
 * The HTTP interface of the executor stand-in.
 */
package org.greengagepass.standins.request

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respond
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.utils.io.writeStringUtf8
import kotlinx.io.IOException
import org.greengagepass.core.RequestId
import org.greengagepass.core.WorkKind
import org.greengagepass.services.process.NOT_RUN_DRAINING
import org.greengagepass.services.process.NOT_RUN_HEADER
import org.greengagepass.services.process.NOT_RUN_OVERLOADED
import org.greengagepass.services.process.REQUEST_ID_HEADER

/** HTTP routes of [executor]. */
public class ExecutorRoutes(
    private val executor: Executor,
) {
    /** Adds the routes to [routing]. */
    public fun install(routing: Routing) {
        routing.post("/{service}/{operation}") { run() }
        routing.get("/statistics") { call.respond(executor.statistics()) }
        routing.get("/control/behaviour") { call.respond(executor.behaviour) }
        routing.put("/control/behaviour") {
            executor.behaviour = call.receive()
            call.respond(executor.behaviour)
        }
    }

    private suspend fun RoutingContext.run() {
        val requestId = call.request.headers[REQUEST_ID_HEADER]
        if (requestId == null) {
            call.response.header(NOT_RUN_HEADER, "the request identifier is missing")
            return call.respond(HttpStatusCode.BadRequest, "")
        }
        val operation = WorkKind(call.parameters["operation"].orEmpty())
        when (val execution = executor.run(RequestId(requestId), operation, call.receiveText())) {
            is Execution.Done -> respond(execution)
            is Execution.NoSlot -> refuse(NOT_RUN_OVERLOADED)
            is Execution.Draining -> refuse(NOT_RUN_DRAINING)
        }
    }

    private suspend fun RoutingContext.respond(execution: Execution.Done) {
        val status = if (execution.failed) HttpStatusCode.InternalServerError else HttpStatusCode.OK
        if (execution.broken) respondTruncated() else call.respond(status, execution.answer)
    }

    /** Closes the connection after fewer bytes than the declared content length. */
    private suspend fun RoutingContext.respondTruncated() {
        call.respondBytesWriter(ContentType.Application.Json, HttpStatusCode.OK, DECLARED_LENGTH_BYTES) {
            writeStringUtf8("{")
            flush()
            throw IOException("the answer is truncated by a configured fault")
        }
    }

    private suspend fun RoutingContext.refuse(reason: String) {
        call.response.header(NOT_RUN_HEADER, reason)
        call.respond(HttpStatusCode.ServiceUnavailable, "")
    }

    private companion object {
        private const val DECLARED_LENGTH_BYTES = 100L
    }
}
