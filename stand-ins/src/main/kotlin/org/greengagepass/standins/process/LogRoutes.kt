/*
 * The HTTP interface of the log stand-in, with faults that tests can inject.
 */
package org.greengagepass.standins.process

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
import org.greengagepass.services.process.AppendBody
import org.greengagepass.services.process.AppendedBody
import org.greengagepass.services.process.RefusalBody
import org.greengagepass.services.process.RefusalReason

/** Injected faults of the log. The next [appendAnswersLost] appends take effect without an answer. */
@Serializable
public data class LogFaults(
    val outage: Boolean = false,
    val delayMillis: Long = 0,
    val answerDelayMillis: Long = 0,
    val appendAnswersLost: Int = 0,
)

/** Retention time of all streams. */
@Serializable
public data class RetentionSetting(
    val retentionMillis: Long,
)

/** Number of appends to each stream since the start. */
@Serializable
public data class LogStatistics(
    val appends: Map<String, Long>,
)

/** HTTP routes of [store] under `/streams`, and of the injected faults under `/control`. */
public class LogRoutes(
    private val store: LogStore,
) {
    @Volatile
    private var faults = LogFaults()

    /** Adds the routes to [routing]. */
    public fun install(routing: Routing) {
        routing.post("/streams/{stream}/records") { append() }
        routing.get("/streams/{stream}/records") { read() }
        routing.get("/statistics") { call.respond(LogStatistics(store.appendCounts())) }
        routing.get("/control/faults") { call.respond(faults) }
        routing.put("/control/faults") {
            faults = call.receive()
            call.respond(faults)
        }
        routing.put("/control/retention") {
            val setting = call.receive<RetentionSetting>()
            store.retentionMillis = setting.retentionMillis
            call.respond(setting)
        }
    }

    private suspend fun RoutingContext.append() {
        val body = call.receive<AppendBody>()
        delay(faults.delayMillis)
        if (faults.outage) return refuse()
        val offset = store.append(streamName(), body.payload)
        delay(faults.answerDelayMillis)
        if (consumeLostAnswer()) {
            call.respond(HttpStatusCode.BadGateway, "")
        } else {
            call.respond(AppendedBody(offset))
        }
    }

    private suspend fun RoutingContext.read() {
        delay(faults.delayMillis)
        if (faults.outage) return refuse()
        val page = store.read(streamName(), queryNumber("from"), queryNumber("waitMillis"))
        delay(faults.answerDelayMillis)
        if (faults.outage) refuse() else call.respond(page)
    }

    private fun RoutingContext.streamName(): String = call.parameters["stream"].orEmpty()

    private fun RoutingContext.queryNumber(name: String): Long = call.request.queryParameters[name]?.toLongOrNull() ?: 0

    private suspend fun RoutingContext.refuse() =
        call.respond(HttpStatusCode.ServiceUnavailable, RefusalBody(RefusalReason.UNAVAILABLE, "log unavailable"))

    @Synchronized
    private fun consumeLostAnswer(): Boolean {
        val lost = faults.appendAnswersLost
        if (lost > 0) faults = faults.copy(appendAnswersLost = lost - 1)
        return lost > 0
    }
}
