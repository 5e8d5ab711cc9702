/*
 * The command that runs an entry. Each setting is a flag and an environment variable.
 */
package org.greengagepass.entry.process

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.groups.OptionGroup
import com.github.ajalt.clikt.parameters.groups.provideDelegate
import com.github.ajalt.clikt.parameters.options.convert
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.options.split
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlinx.coroutines.runBlocking
import org.greengagepass.core.EntryId
import org.greengagepass.core.FailureDomainName
import java.util.UUID

/** Exit code of a command whose settings have faults. */
public const val EXIT_CODE_INVALID_SETTINGS: Int = 2

/** Flags and environment variables of an entry. */
public class EntryOptions : OptionGroup(name = "Settings of the entry") {
    private val failureDomain: String by option(
        "--failure-domain",
        envvar = "GREENGAGEPASS_FAILURE_DOMAIN",
        help = "Name of the failure domain of this host",
    ).required()
    private val httpHost: String by option(
        "--http-host",
        envvar = "GREENGAGEPASS_HTTP_HOST",
        help = "IP address on which callers and operators are served (default 127.0.0.1)",
    ).default("127.0.0.1")
    private val httpPort: Int by option(
        "--http-port",
        envvar = "GREENGAGEPASS_HTTP_PORT",
        help = "TCP port for callers and operators (default 8080; 0 takes a free one)",
    ).int().default(DEFAULT_HTTP_PORT)
    private val agentHost: String by option(
        "--agent-host",
        envvar = "GREENGAGEPASS_AGENT_HOST",
        help = "IP address on which agents and other entries are served (default 127.0.0.1)",
    ).default("127.0.0.1")
    private val agentPort: Int by option(
        "--agent-port",
        envvar = "GREENGAGEPASS_AGENT_PORT",
        help = "TCP port for agents (default 8081; 0 takes a free one)",
    ).int().default(DEFAULT_AGENT_PORT)
    private val peerPort: Int by option(
        "--peer-port",
        envvar = "GREENGAGEPASS_PEER_PORT",
        help = "TCP port for other entries (default 8082; 0 takes a free one)",
    ).int().default(DEFAULT_PEER_PORT)
    private val advertisedAddress: String? by option(
        "--advertised-address",
        envvar = "GREENGAGEPASS_ADVERTISED_ADDRESS",
        help = "host:port under which agents reach this entry (default agent-host:agent-port)",
    )
    private val peers: List<String> by option(
        "--peers",
        envvar = "GREENGAGEPASS_PEERS",
        help = "host:port of the peer port of each other entry, separated by commas",
    ).split(",").default(emptyList())
    private val logUrl: String by option(
        "--log-url",
        envvar = "GREENGAGEPASS_LOG_URL",
        help = "URL of the platform's log service",
    ).required()
    private val partitions: Int by option(
        "--partitions",
        envvar = "GREENGAGEPASS_PARTITIONS",
        help = "Number of partitions, the same in all entries (default 1)",
    ).int().default(1)
    private val flushWindowMillis: Long by option(
        "--flush-window-millis",
        envvar = "GREENGAGEPASS_FLUSH_WINDOW_MILLIS",
        help = "Milliseconds for which records are collected into one append (default 20)",
    ).long().default(DEFAULT_FLUSH_WINDOW_MILLIS)
    private val shutdownMillis: Long by option(
        "--shutdown-millis",
        envvar = "GREENGAGEPASS_SHUTDOWN_MILLIS",
        help = "Milliseconds for which a stopping entry waits for requests in progress (default 30000)",
    ).long().default(DEFAULT_SHUTDOWN_MILLIS)
    private val logRetentionMillis: Long by option(
        "--log-retention-millis",
        envvar = "GREENGAGEPASS_LOG_RETENTION_MILLIS",
        help = "Milliseconds for which the log keeps records (default 3600000)",
    ).long().default(DEFAULT_LOG_RETENTION_MILLIS)
    private val token: String? by option(
        "--token",
        envvar = "GREENGAGEPASS_TOKEN",
        help = "Token that operators present; required unless http-host is a loopback address",
    )
    private val otlpEndpoint: String? by option(
        "--otlp-endpoint",
        envvar = "GREENGAGEPASS_OTLP_ENDPOINT",
        help = "URL to which spans are exported by OTLP over HTTP; without it spans are written as log lines",
    )
    private val entryId: EntryId by option(
        "--entry-id",
        envvar = "GREENGAGEPASS_ENTRY_ID",
        help = "Name of this start of the process, unique for each start (default a random one)",
    ).convert { EntryId(it) }.default(EntryId("entry-${UUID.randomUUID()}"))

    /** The settings as given. */
    public fun toSettings(): EntrySettings =
        EntrySettings(
            entryId = entryId,
            failureDomain = FailureDomainName(failureDomain),
            httpHost = httpHost,
            httpPort = httpPort,
            agentHost = agentHost,
            agentPort = agentPort,
            peerPort = peerPort,
            advertisedAddress = advertisedAddress ?: "$agentHost:$agentPort",
            peers = peers.filter { it.isNotBlank() },
            logUrl = logUrl,
            partitions = partitions,
            flushWindowMillis = flushWindowMillis,
            shutdownMillis = shutdownMillis,
            logRetentionMillis = logRetentionMillis,
            token = token,
            otlpEndpoint = otlpEndpoint,
        )

    private companion object {
        private const val DEFAULT_HTTP_PORT = 8080
        private const val DEFAULT_AGENT_PORT = 8081
        private const val DEFAULT_PEER_PORT = 8082
        private const val DEFAULT_FLUSH_WINDOW_MILLIS = 20L
        private const val DEFAULT_SHUTDOWN_MILLIS = 30_000L
        private const val DEFAULT_LOG_RETENTION_MILLIS = 3_600_000L
    }
}

/** Runs an entry until it is told to stop. */
public class ServeCommand : CliktCommand(name = "serve") {
    private val options by EntryOptions()

    override fun help(context: Context): String = "Runs an entry process until it receives SIGTERM."

    override fun run() {
        val settings = options.toSettings()
        val faults = settings.faults()
        faults.forEach { echo(it, err = true) }
        if (faults.isNotEmpty()) throw ProgramResult(EXIT_CODE_INVALID_SETTINGS)
        runBlocking { EntryProcess(settings).runUntilStopped() }
    }
}
