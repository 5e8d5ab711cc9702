/*
 * The operators' commands for profiles and quotas.
 */
package org.greengagepass.entry.version

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.greengagepass.core.version.Priority
import org.greengagepass.core.version.Profile
import org.greengagepass.core.version.ServiceClass
import org.greengagepass.entry.process.Column
import org.greengagepass.entry.process.EntryCall
import org.greengagepass.entry.process.OperatorCommand

internal const val EXPECTED_VERSION_HELP =
    "Version that the change replaces, as printed by list (number; -1 if there is none yet; required)"
internal const val IDEMPOTENCY_KEY_HELP =
    "Idempotency key; a change that is sent again with the same key happens once (text; default a random one)"
private val PROFILES = listOf("v1", "profiles")
private val QUOTAS = listOf("v1", "quotas")

private class ProfilesListCommand : OperatorCommand(name = "list", summary = "Lists the published profiles.") {
    override fun run() =
        showList(
            PROFILES,
            listOf(
                Column("NAME", "profile.name"),
                Column("VERSION", "version"),
                Column("CLASS", "profile.serviceClass"),
                Column("PRIORITY", "profile.priority"),
                Column("OBJECTIVE-MS", "profile.latencyObjectiveMillis"),
                Column("DEADLINE-MS", "profile.deadlineMillis"),
                Column("OPERATOR", "operator"),
            ),
        )
}

private class ProfilesShowCommand : OperatorCommand(name = "show", summary = "Shows one profile.") {
    private val profile by argument(help = "Name of the profile")

    override fun run() = show(EntryCall(HttpMethod.Get, PROFILES + profile))
}

private class ProfilesPublishCommand :
    OperatorCommand(name = "publish", summary = "Publishes a profile or a new version of it.") {
    private val profile by argument(help = "Name of the profile")
    private val expectedVersion by option("--expected-version", help = EXPECTED_VERSION_HELP).long().required()
    private val serviceClass by option(
        "--service-class",
        help = "QUICK or AT_MOST_ONCE for requests, BATCH or STANDING for tasks (required)",
    ).enum<ServiceClass>().required()
    private val priority by option("--priority", help = "URGENT, NORMAL or BACKGROUND (default NORMAL)")
        .enum<Priority>()
        .default(Priority.NORMAL)
    private val latencyObjectiveMillis by option(
        "--latency-objective-millis",
        help = "Latency objective of the service (ms; default ${Profile.DEFAULT_LATENCY_OBJECTIVE_MILLIS})",
    ).long().default(Profile.DEFAULT_LATENCY_OBJECTIVE_MILLIS)
    private val deadlineMillis by option(
        "--deadline-millis",
        help = "Longest time until the answer (ms; default ${Profile.DEFAULT_DEADLINE_MILLIS})",
    ).long().default(Profile.DEFAULT_DEADLINE_MILLIS)
    private val retryLimit by option(
        "--retry-limit",
        help = "Maximum number of retries after the first attempt (attempts; default ${Profile.DEFAULT_RETRY_LIMIT})",
    ).int().default(Profile.DEFAULT_RETRY_LIMIT)
    private val evictable by option("--evictable", help = "Whether tasks may be evicted (true or false; default true)")
        .choice("true", "false")
        .default("true")
    private val throttleable by option(
        "--throttleable",
        help = "Whether tasks may be throttled (true or false; default true)",
    ).choice("true", "false").default("true")
    private val idempotencyKey by option("--idempotency-key", help = IDEMPOTENCY_KEY_HELP)

    override fun run() {
        val body =
            buildJsonObject {
                put("expectedVersion", expectedVersion)
                put("serviceClass", serviceClass.name)
                put("priority", priority.name)
                put("latencyObjectiveMillis", latencyObjectiveMillis)
                put("deadlineMillis", deadlineMillis)
                put("retryLimit", retryLimit)
                put("evictable", evictable.toBoolean())
                put("throttleable", throttleable.toBoolean())
            }
        change(HttpMethod.Put, PROFILES + profile, body, idempotencyKey)
    }
}

private class QuotasListCommand : OperatorCommand(name = "list", summary = "Lists the quotas of teams.") {
    override fun run() =
        showList(
            QUOTAS,
            listOf(
                Column("TEAM", "team"),
                Column("VERSION", "version"),
                Column("MILLI-CORES", "quota.running.milliCores"),
                Column("MEMORY-MB", "quota.running.memoryMegabytes"),
                Column("ACCELERATORS", "quota.running.accelerators"),
                Column("REQUESTS/S", "quota.requestsPerSecond"),
                Column("OPERATOR", "operator"),
            ),
        )
}

private class QuotasSetCommand : OperatorCommand(name = "set", summary = "Sets the quota of a team.") {
    private val team by argument(help = "Name of the team")
    private val expectedVersion by option("--expected-version", help = EXPECTED_VERSION_HELP).long().required()
    private val milliCores by option("--milli-cores", help = "Running limit (thousandths of a core; required)")
        .long()
        .required()
    private val memoryMegabytes by option("--memory-megabytes", help = "Running limit (MB; required)").long().required()
    private val accelerators by option("--accelerators", help = "Running limit (accelerators; default 0)")
        .int()
        .default(0)
    private val requestsPerSecond by option("--requests-per-second", help = "Request limit (requests/s; required)")
        .int()
        .required()
    private val idempotencyKey by option("--idempotency-key", help = IDEMPOTENCY_KEY_HELP)

    override fun run() {
        val body =
            buildJsonObject {
                put("expectedVersion", expectedVersion)
                put("milliCores", milliCores)
                put("memoryMegabytes", memoryMegabytes)
                put("accelerators", accelerators)
                put("requestsPerSecond", requestsPerSecond)
            }
        change(HttpMethod.Put, QUOTAS + team, body, idempotencyKey)
    }
}

/** Commands for profiles. */
public class ProfilesCommand : NoOpCliktCommand(name = "profiles") {
    init {
        subcommands(ProfilesListCommand(), ProfilesShowCommand(), ProfilesPublishCommand())
    }

    override fun help(context: Context): String = "Lists, shows and publishes profiles."
}

/** Commands for quotas. */
public class QuotasCommand : NoOpCliktCommand(name = "quotas") {
    init {
        subcommands(QuotasListCommand(), QuotasSetCommand())
    }

    override fun help(context: Context): String = "Lists and sets the quotas of teams."
}
