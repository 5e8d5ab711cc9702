/*
 * The HTTP interface of the worker stand-in, with faults that tests can inject.
 */
package org.greengagepass.standins.process

import arrow.core.Either
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Routing
import io.ktor.server.routing.RoutingContext
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.greengagepass.core.Timestamp
import org.greengagepass.services.process.DoneBody
import org.greengagepass.services.process.ForgetBody
import org.greengagepass.services.process.IncarnationBody
import org.greengagepass.services.process.RefusalBody
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.RenewBody
import org.greengagepass.services.process.StartBody
import org.greengagepass.services.process.ThrottleBody
import org.greengagepass.services.process.TokenBody

/** Injected faults of the worker. The next [answersLost] operations take effect without an answer. */
@Serializable
public data class WorkerFaults(
    val outage: Boolean = false,
    val delayMillis: Long = 0,
    val answersLost: Int = 0,
    val failsAll: Boolean = false,
)

/** HTTP routes of [worker]. [clock] gives the current time. */
public class WorkerRoutes(
    private val worker: SimulatedWorker,
    private val clock: () -> Timestamp,
) {
    @Volatile
    private var faults = WorkerFaults()

    /** Adds the routes to [routing]. */
    public fun install(routing: Routing) {
        installOperations(routing)
        routing.get("/history") {
            worker.advance(clock())
            call.respond(worker.history(call.request.queryParameters["from"]?.toLongOrNull() ?: 0))
        }
        routing.get("/control/faults") { call.respond(faults) }
        routing.put("/control/faults") {
            faults = call.receive()
            worker.failsAll = faults.failsAll
            call.respond(faults)
        }
    }

    private fun installOperations(routing: Routing) {
        routing.post("/attach") { handle<IncarnationBody> { worker.attach(it.incarnation, clock()) } }
        routing.post("/report") { handle<IncarnationBody> { worker.report(it.incarnation, clock()) } }
        routing.post("/start") { handle<StartBody> { worker.start(it.incarnation, it.start, clock()) } }
        routing.post("/renew") { handle<RenewBody> { worker.renew(it, clock()) } }
        routing.post("/throttle") { handle<ThrottleBody> { worker.throttle(it, clock()) } }
        routing.post("/checkpoint") { handle<TokenBody> { worker.checkpoint(it.incarnation, it.token, clock()) } }
        routing.post("/stop") { handle<TokenBody> { worker.stop(it.incarnation, it.token, clock()) } }
        routing.post("/forget") { handle<ForgetBody> { worker.forget(it.incarnation, it.tokens, clock()) } }
    }

    private suspend inline fun <reified B : Any> RoutingContext.handle(operation: (B) -> Either<RefusalBody, Any>) {
        val body = call.receive<B>()
        delay(faults.delayMillis)
        if (faults.outage) {
            return refuse(RefusalBody(RefusalReason.UNAVAILABLE, "the worker is unavailable"))
        }
        val outcome = operation(body)
        if (consumeLostAnswer()) {
            call.respond(HttpStatusCode.BadGateway, "")
        } else {
            outcome.fold({ refuse(it) }, { call.respond(if (it is Unit) DoneBody else it) })
        }
    }

    private suspend fun RoutingContext.refuse(refusal: RefusalBody) = call.respond(HttpStatusCode.Conflict, refusal)

    @Synchronized
    private fun consumeLostAnswer(): Boolean {
        val lost = faults.answersLost
        if (lost > 0) faults = faults.copy(answersLost = lost - 1)
        return lost > 0
    }
}
