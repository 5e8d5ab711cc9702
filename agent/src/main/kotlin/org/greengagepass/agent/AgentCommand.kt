/*
 * Command line of the agent. Each flag can also be set by an environment variable: GREENGAGEPASS_HOST for --host and so
 * on.
 */
package org.greengagepass.agent

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import org.greengagepass.agent.process.AgentProcess
import org.greengagepass.agent.process.AgentSettings
import org.greengagepass.agent.process.LOG_LEVEL_PROPERTY
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources

private const val EXIT_REPLACED = 3
private const val DEFAULT_RESERVE_MILLI_CORES = 2_000L
private const val DEFAULT_RESERVE_MEMORY_MEGABYTES = 2_048L
private const val DEFAULT_LISTEN = "127.0.0.1:7201"

/** Runs an agent until the process is terminated. [environment] returns the value of an environment variable. */
internal class AgentCommand(
    private val environment: (String) -> String? = System::getenv,
) : CoreCliktCommand(name = "greengagepass-agent") {
    private val host by option("--host", help = "Name of this host (required)").required()
    private val failureDomain by option("--failure-domain", help = "Failure domain of this host (required)").required()
    private val rack by option("--rack", help = "Rack of this host (required)").required()
    private val entries by option("--entries", help = "host:port of entries, separated by commas (required)")
        .split(",")
        .required()
    private val worker by option("--worker", help = "URL of the worker of this host (required)").required()
    private val listen by option("--listen", help = "host:port for announcements and health (default $DEFAULT_LISTEN)")
        .default(DEFAULT_LISTEN)
    private val reserveMilliCores by option(
        "--reserve-milli-cores",
        help = "Thousandths of a core kept for upstreams (default $DEFAULT_RESERVE_MILLI_CORES)",
    ).long().default(DEFAULT_RESERVE_MILLI_CORES)
    private val reserveMemoryMegabytes by option(
        "--reserve-memory-megabytes",
        help = "Megabytes kept for upstreams (default $DEFAULT_RESERVE_MEMORY_MEGABYTES)",
    ).long().default(DEFAULT_RESERVE_MEMORY_MEGABYTES)
    private val drainMillis by option(
        "--drain-millis",
        help = "Longest wait of a stopping agent for requests in progress (ms, default ${AgentSettings.DRAIN_MILLIS})",
    ).long().default(AgentSettings.DRAIN_MILLIS)
    private val checkpointIntervalMillis by option(
        "--checkpoint-interval-millis",
        help = "Time between checkpoints of a task (ms, default ${AgentSettings.CHECKPOINT_INTERVAL_MILLIS})",
    ).long().restrictTo(min = 1_000).default(AgentSettings.CHECKPOINT_INTERVAL_MILLIS)
    private val logLevel by option("--log-level", help = "debug, info, warn, error or off (default info)")
        .choice("debug", "info", "warn", "error", "off")
        .default("info")

    init {
        context {
            autoEnvvarPrefix = "GREENGAGEPASS"
            // clikt-core reads no environment variables by default.
            readEnvvar = environment
        }
    }

    override fun run() {
        System.setProperty(LOG_LEVEL_PROPERTY, logLevel)
        val process = AgentProcess(settings()) { Runtime.getRuntime().halt(EXIT_REPLACED) }
        Runtime.getRuntime().addShutdownHook(Thread { process.stop() })
        process.start()
    }

    private fun settings(): AgentSettings =
        AgentSettings(
            host = HostId(host),
            // A restarted agent must have a higher incarnation, and hosts store no state to count from.
            incarnation = Incarnation(System.currentTimeMillis()),
            failureDomain = FailureDomainName(failureDomain),
            rack = RackName(rack),
            entryAddresses = entries,
            workerAddress = worker,
            listenHost = listen.substringBeforeLast(':'),
            listenPort = listen.substringAfterLast(':').toInt(),
            reserve = Resources(reserveMilliCores, reserveMemoryMegabytes),
            drainMillis = drainMillis,
            checkpointIntervalMillis = checkpointIntervalMillis,
        )
}
