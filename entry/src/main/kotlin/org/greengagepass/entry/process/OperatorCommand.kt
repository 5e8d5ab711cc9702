/*
 * What the operators' commands share: the URL of the entry, the operator's identity, and the output of answers.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import io.ktor.http.HttpMethod
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import java.util.UUID

/** A column of a printed list: its [title] and the [value] that it shows of an item. */
public class Column(
    public val title: String,
    public val value: (JsonObject) -> String,
) {
    /** A column that shows the value at [path], whose segments are separated by dots. */
    public constructor(title: String, path: String) : this(title, { it.textAt(path) })
}

/** The value at [path] as text; empty if there is none. */
public fun JsonObject.textAt(path: String): String {
    val element = path.split('.').fold<String, JsonElement?>(this) { at, name -> (at as? JsonObject)?.get(name) }
    return (element as? JsonPrimitive)?.content ?: element?.toString().orEmpty()
}

/** A command that calls an entry. */
public abstract class OperatorCommand(
    name: String,
    private val summary: String,
) : CliktCommand(name = name) {
    private val entry by option(
        "--entry",
        envvar = "GREENGAGEPASS_ENTRY",
        help = "URL of an entry (http or https URL; default $DEFAULT_ENTRY; GREENGAGEPASS_ENTRY)",
    ).default(DEFAULT_ENTRY)
    private val token by option(
        "--token",
        envvar = "GREENGAGEPASS_TOKEN",
        help = "Token of the entry (text; default none; GREENGAGEPASS_TOKEN)",
    )
    private val operator by option(
        "--operator",
        envvar = "GREENGAGEPASS_OPERATOR",
        help = "Name under which changes are recorded (name; default the user's name; GREENGAGEPASS_OPERATOR)",
    ).default(System.getProperty("user.name").orEmpty())
    private val output by option(
        "--output",
        help = "Format of the answer (text or json; default text; no environment variable)",
    ).choice("text", "json").default("text")

    override fun help(context: Context): String = summary

    override fun helpEpilog(context: Context): String =
        "Exit codes: 0 done, 1 wrong usage, 3 refused and nothing was changed, 4 ran and did not succeed, " +
            "5 unknown whether it ran, 6 no answer."

    /** Sends [call] and prints the answer. */
    protected fun show(
        call: EntryCall,
        columns: List<Column> = emptyList(),
    ) {
        val answer = withClient { it.send(call) }
        when {
            output == "json" -> echo(answer)
            columns.isEmpty() -> answer.forEach { (name, value) -> echo("$name: ${text(value)}") }
            else -> printRows(columns, listOf(answer))
        }
    }

    /** Sends a change with an idempotency key, [givenKey] or a new one, and prints the answer. */
    protected fun change(
        method: HttpMethod,
        path: List<String>,
        body: JsonObject?,
        givenKey: String?,
    ) {
        val key = givenKey ?: UUID.randomUUID().toString()
        show(EntryCall(method, path, body = body, idempotencyKey = key))
    }

    /** Prints the list at [path] in [columns]. */
    protected fun showList(
        path: List<String>,
        columns: List<Column>,
        isShown: (JsonObject) -> Boolean = { true },
    ) {
        val items = withClient { it.list(path) }.filter(isShown)
        if (output == "json") echo(JsonArray(items)) else printRows(columns, items)
    }

    private fun <T> withClient(call: suspend (EntryClient) -> Either<CallFailure, T>): T {
        val answer = EntryClient(entry, token, operator).use { client -> runBlocking { call(client) } }
        return when (answer) {
            is Either.Right -> answer.value
            is Either.Left -> {
                echo(answer.value.detail, err = true)
                throw ProgramResult(answer.value.exitCode())
            }
        }
    }

    private fun printRows(
        columns: List<Column>,
        items: List<JsonObject>,
    ) {
        val rows = listOf(columns.map { it.title }) + items.map { item -> columns.map { it.value(item) } }
        val widths = columns.indices.map { index -> rows.maxOf { it[index].length } }
        rows.forEach { row ->
            echo(row.mapIndexed { index, cell -> cell.padEnd(widths[index]) }.joinToString("  ").trimEnd())
        }
    }

    private fun text(value: JsonElement): String = (value as? JsonPrimitive)?.content ?: value.toString()

    private companion object {
        private const val DEFAULT_ENTRY = "http://127.0.0.1:8080"
    }
}
