/*
 * The settings of an entry. The flags, the checks and the help texts are derived from this list.
 */
package org.greengagepass.entry.process

private const val PORT_UNIT = "port number"
private const val MILLIS_UNIT = "ms"
private const val PORT_MAXIMUM = 65_535L
private const val PARTITIONS_MAXIMUM = 4_096L
private val PORT_RANGE = 0L..PORT_MAXIMUM

/** A setting with its [unit], its [default] and, for numbers, the [range] that is allowed. */
public enum class EntrySetting(
    public val meaning: String,
    public val unit: String,
    public val default: String?,
    public val range: LongRange? = null,
    public val isRequired: Boolean = false,
) {
    FAILURE_DOMAIN(
        meaning = "Failure domain of this host",
        unit = "name",
        default = null,
        isRequired = true,
    ),
    LOG_URL(
        meaning = "The platform's log service",
        unit = "http or https URL",
        default = null,
        isRequired = true,
    ),
    HTTP_HOST(
        meaning = "Address on which callers and operators are served; one that is not loopback needs a token",
        unit = "IP address",
        default = "127.0.0.1",
    ),
    HTTP_PORT("TCP port for callers and operators; 0 selects a free one", PORT_UNIT, "8080", PORT_RANGE),
    AGENT_HOST("Address on which agents and other entries are served", "IP address", "127.0.0.1"),
    AGENT_PORT("TCP port for agents; 0 selects a free one", PORT_UNIT, "8081", PORT_RANGE),
    PEER_PORT("TCP port for other entries; 0 selects a free one", PORT_UNIT, "8082", PORT_RANGE),
    ADVERTISED_ADDRESS(
        meaning = "Address under which agents reach this entry; without it agent-host and agent-port",
        unit = "host:port",
        default = null,
    ),
    PEERS("Peer port of each other entry", "host:port, separated by commas", ""),
    PARTITIONS("Number of partitions, the same in all entries", "partitions", "1", 1L..PARTITIONS_MAXIMUM),
    FLUSH_WINDOW_MILLIS(
        meaning = "Time for which records are collected into one append",
        unit = MILLIS_UNIT,
        default = "20",
        range = 0L..1_000L,
    ),
    SHUTDOWN_MILLIS(
        meaning = "Longest wait of a stopping entry for requests in progress",
        unit = MILLIS_UNIT,
        default = "30000",
        range = 0L..600_000L,
    ),
    LOG_RETENTION_MILLIS(
        meaning = "Time for which the log keeps records; snapshots are written four times in it",
        unit = MILLIS_UNIT,
        default = "3600000",
        range = 600_000L..31_622_400_000L,
    ),
    NOT_READY_MILLIS(
        meaning = "Time for which a stopping entry reports that it is not ready before it refuses requests",
        unit = MILLIS_UNIT,
        default = "1000",
        range = 0L..60_000L,
    ),
    TOKEN(
        meaning = "Token that operators present; required unless http-host is a loopback address",
        unit = "text",
        default = null,
    ),
    OTLP_ENDPOINT(
        meaning = "Where spans are exported by OTLP over HTTP; without it they are written as log lines",
        unit = "http or https URL",
        default = null,
    ),
    ENTRY_ID(
        meaning = "Name of this start of the process, unique for each start; without it a random one",
        unit = "name",
        default = null,
    ),
    ;

    /** Name in messages. */
    public val settingName: String = name.lowercase().replace('_', '-')

    /** Flag of the command line. */
    public val flag: String = "--$settingName"

    /** Environment variable that is read if the flag is absent. */
    public val environmentVariable: String = ENVIRONMENT_PREFIX + name

    /** Explanation for the help page. */
    public val help: String
        get() {
            val allowed = range?.let { ", ${it.first} to ${it.last}" }.orEmpty()
            val preset = if (isRequired) "required" else "default ${default.orEmpty().ifEmpty { "none" }}"
            return "$meaning ($unit$allowed; $preset; $environmentVariable)"
        }
}

/** Prefix of all environment variables that the programs read. */
public const val ENVIRONMENT_PREFIX: String = "GREENGAGEPASS_"

private val OTHER_VARIABLES = setOf("LOG_LEVEL", "ENTRY", "OPERATOR").map { ENVIRONMENT_PREFIX + it }.toSet()

/** One sentence for each variable in [names] that has the prefix and is read by no command. */
public fun unknownVariableFaults(names: Set<String>): List<String> {
    val known = EntrySetting.entries.map { it.environmentVariable } + OTHER_VARIABLES
    return names
        .filter { it.startsWith(ENVIRONMENT_PREFIX) && it !in known }
        .sorted()
        .map { "environment variable $it is unknown; remove it or correct its name" }
}
