/*
 * The operators' commands that take failure domains out of service and put them back.
 */
package org.greengagepass.entry.version

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.optional
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.greengagepass.entry.process.Column
import org.greengagepass.entry.process.OperatorCommand
import org.greengagepass.entry.process.textAt
import java.time.Instant

private val FAILURE_DOMAINS = listOf("v1", "failure-domains")

private class FailureDomainChangeCommand(
    private val direction: String,
    summary: String,
) : OperatorCommand(name = direction, summary = summary) {
    private val failureDomain by argument(help = "Name of the failure domain")
    private val reason by option("--reason", help = "Reason that other operators see (text; required)").required()
    private val expectedVersion by option(
        "--expected-version",
        help = "Version of the last change that the operator has seen (number; default not compared)",
    ).long()
    private val idempotencyKey by option("--idempotency-key", help = IDEMPOTENCY_KEY_HELP)

    override fun run() {
        val body =
            buildJsonObject {
                put("reason", reason)
                expectedVersion?.let { put("expectedVersion", it) }
            }
        change(HttpMethod.Post, FAILURE_DOMAINS + failureDomain + direction, body, idempotencyKey)
    }
}

private class FailureDomainStatusCommand :
    OperatorCommand(name = "status", summary = "Shows who took failure domains out or put them back, and when.") {
    private val failureDomain by argument(help = "Name of a failure domain; all if absent").optional()

    override fun run() =
        showList(
            FAILURE_DOMAINS,
            listOf(
                Column("NAME", "name"),
                Column("STATUS") { if (it.latest().textAt("isOut").toBoolean()) "out" else "in" },
                Column("SINCE") { it.latest().recordedAt() },
                Column("OPERATOR") { it.latest().textAt("operator") },
                Column("REASON") { it.latest().textAt("reason") },
                Column("VERSION") { it.latest().textAt("version") },
            ),
        ) { failureDomain == null || it.textAt("name") == failureDomain }
}

private fun JsonObject.latest(): JsonObject =
    (get("history") as? JsonArray)?.lastOrNull() as? JsonObject ?: JsonObject(emptyMap())

private fun JsonObject.recordedAt(): String =
    textAt("recordedAtEpochMillis").toLongOrNull()?.let { Instant.ofEpochMilli(it).toString() }.orEmpty()

/** Commands for failure domains. */
public class FailureDomainsCommand : NoOpCliktCommand(name = "failure-domains") {
    init {
        subcommands(
            FailureDomainChangeCommand(
                direction = "out",
                summary = "Takes a failure domain out of service; no more tasks start in it.",
            ),
            FailureDomainChangeCommand(direction = "in", summary = "Puts a failure domain back into service."),
            FailureDomainStatusCommand(),
        )
    }

    override fun help(context: Context): String = "Takes failure domains out of service and puts them back."
}
