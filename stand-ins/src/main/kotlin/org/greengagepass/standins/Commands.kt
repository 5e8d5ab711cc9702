/*
 * The commands of the stand-ins program. Each one serves until the process is terminated.
 */
package org.greengagepass.standins

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.CoreNoOpCliktCommand
import com.github.ajalt.clikt.parameters.options.associate
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.services.process.UpstreamAnnouncement
import org.greengagepass.standins.process.LogRoutes
import org.greengagepass.standins.process.LogStore
import org.greengagepass.standins.process.SimulatedWorker
import org.greengagepass.standins.process.WorkerRoutes
import org.greengagepass.standins.process.monotonicClock
import org.greengagepass.standins.process.startServer
import org.greengagepass.standins.request.Announcer
import org.greengagepass.standins.request.Executor
import org.greengagepass.standins.request.ExecutorBehaviour
import org.greengagepass.standins.request.ExecutorRoutes
import java.net.http.HttpClient
import kotlin.random.Random

private const val TICK_MILLIS = 20L
private const val DRAIN_TIMEOUT_MILLIS = 30_000L
private const val LEAVE_ATTEMPTS_MAXIMUM = 5
private const val DEFAULT_MILLI_CORES = 16_000L
private const val DEFAULT_MEMORY_MEGABYTES = 60_000L
private const val DEFAULT_USAGE_LAG_MILLIS = 2_000L
private const val DEFAULT_SLOTS = 8
private const val DEFAULT_SERVICE_MILLIS = 5L

/** The root command. */
internal class StandInsCommand : CoreNoOpCliktCommand(name = "stand-ins")

/** Serves a log. */
internal class LogCommand : CoreCliktCommand(name = "log") {
    private val port by option("--port").int().required()
    private val retentionMillis by option("--retention-millis").long().default(LogStore.DEFAULT_RETENTION_MILLIS)

    override fun run() {
        val clock = monotonicClock(offsetMillis = 0)
        val store = LogStore { clock().millis }
        store.retentionMillis = retentionMillis
        startServer(port) { LogRoutes(store).install(this) }
        Thread.currentThread().join()
    }
}

/** Serves a worker. */
internal class WorkerCommand : CoreCliktCommand(name = "worker") {
    private val port by option("--port").int().required()
    private val name by option("--name").default("worker")
    private val milliCores by option("--milli-cores").long().default(DEFAULT_MILLI_CORES)
    private val memoryMegabytes by option("--memory-megabytes").long().default(DEFAULT_MEMORY_MEGABYTES)
    private val accelerators by option("--accelerators").int().default(0)
    private val usageLagMillis by option("--usage-lag-millis").long().default(DEFAULT_USAGE_LAG_MILLIS)
    private val clockOffsetMillis by option("--clock-offset-millis").long().default(Random.nextLong(CLOCK_OFFSET_LIMIT))

    override fun run() {
        val clock = monotonicClock(clockOffsetMillis)
        val worker = SimulatedWorker(name, Resources(milliCores, memoryMegabytes, accelerators), usageLagMillis)
        startServer(port) { WorkerRoutes(worker, clock).install(this) }
        runBlocking {
            while (true) {
                worker.advance(clock())
                delay(TICK_MILLIS)
            }
        }
    }

    private companion object {
        private const val CLOCK_OFFSET_LIMIT = 1_000_000_000L
    }
}

/** Serves an executor and announces it to the agent of its host. */
internal class ExecutorCommand : CoreCliktCommand(name = "executor") {
    private val port by option("--port").int().required()
    private val name by option("--name").default("executor")
    private val service by option("--service").required()
    private val agentAddress by option("--agent", help = "for example http://127.0.0.1:7201").required()
    private val slots by option("--slots").int().default(DEFAULT_SLOTS)
    private val serviceMillis by option("--service-millis").long().default(DEFAULT_SERVICE_MILLIS)
    private val jitterMillis by option("--jitter-millis").long().default(0)
    private val operationMillis: Map<String, String> by option("--operation-millis", help = "operation=ms").associate()
    private val seed by option("--seed").int().default(1)

    override fun run() {
        val executor = Executor(name, slots, Random(seed))
        executor.behaviour =
            ExecutorBehaviour(
                serviceMillis = serviceMillis,
                jitterMillis = jitterMillis,
                operationMillis = operationMillis.mapValues { it.value.toLong() },
            )
        startServer(port) { ExecutorRoutes(executor).install(this) }
        val announcement = UpstreamAnnouncement(ServiceName(service), "http://127.0.0.1:$port", slots)
        announce(executor, Announcer(HttpClient.newHttpClient(), agentAddress, announcement))
    }

    private fun announce(
        executor: Executor,
        announcer: Announcer,
    ) = runBlocking {
        val announcing = launch { announcer.run() }
        Runtime.getRuntime().addShutdownHook(
            Thread {
                announcing.cancel()
                runBlocking { leave(executor, announcer) }
            },
        )
    }

    /** Announces the shutdown to the agent before requests are refused, so that the agent can stop sending them. */
    private suspend fun leave(
        executor: Executor,
        announcer: Announcer,
    ) {
        repeat(LEAVE_ATTEMPTS_MAXIMUM) { if (announcer.announceDraining()) return drain(executor) }
        drain(executor)
    }

    private suspend fun drain(executor: Executor) {
        executor.close()
        withTimeoutOrNull(DRAIN_TIMEOUT_MILLIS) {
            while (!executor.isIdle()) delay(TICK_MILLIS)
        }
        delay(TICK_MILLIS)
    }
}
