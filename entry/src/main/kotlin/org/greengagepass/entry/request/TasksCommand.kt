/*
 * The operators' commands for tasks.
 */
package org.greengagepass.entry.request

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import io.ktor.http.HttpMethod
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import org.greengagepass.entry.process.EntryCall
import org.greengagepass.entry.process.OperatorCommand

private val TASKS = listOf("v1", "tasks")
private const val DEFAULT_MILLI_CORES = 1_000L
private const val DEFAULT_MEMORY_MEGABYTES = 256L

private class TaskSubmitCommand : OperatorCommand(name = "submit", summary = "Submits a task.") {
    private val taskId by option(
        "--task-id",
        help = "Identifier of the task; a repeated submission under it creates no second task (name; default random)",
    )
    private val team by option("--team", help = "Team that the task belongs to (name; required)").required()
    private val profile by option("--profile", help = "Profile for batch or standing work (name; required)").required()
    private val kind by option("--kind", help = "Kind of work (name; required)").required()
    private val milliCores by option(
        "--milli-cores",
        help = "Expected use (thousandths of a core; default $DEFAULT_MILLI_CORES)",
    ).long().default(DEFAULT_MILLI_CORES)
    private val memoryMegabytes by option(
        "--memory-megabytes",
        help = "Expected use (MB; default $DEFAULT_MEMORY_MEGABYTES)",
    ).long().default(DEFAULT_MEMORY_MEGABYTES)
    private val accelerators by option("--accelerators", help = "Accelerators needed (accelerators; default 0)")
        .int()
        .default(0)
    private val input by option("--input", help = "Input for the worker (text; default empty)").default("")

    override fun run() {
        val body =
            buildJsonObject {
                taskId?.let { put("taskId", it) }
                put("team", team)
                put("profile", profile)
                put("kind", kind)
                put("milliCores", milliCores)
                put("memoryMegabytes", memoryMegabytes)
                put("accelerators", accelerators)
                put("input", input)
            }
        show(EntryCall(HttpMethod.Post, TASKS, body = body))
    }
}

private class TaskCommand(
    name: String,
    summary: String,
    private val method: HttpMethod = HttpMethod.Get,
    private val suffix: List<String> = emptyList(),
) : OperatorCommand(name = name, summary = summary) {
    private val taskId by argument(help = "Identifier of the task")

    override fun run() = show(EntryCall(method, TASKS + taskId + suffix))
}

/** Commands for tasks. */
public class TasksCommand : NoOpCliktCommand(name = "tasks") {
    init {
        subcommands(
            TaskSubmitCommand(),
            TaskCommand(name = "show", summary = "Shows a task."),
            TaskCommand(name = "cancel", summary = "Requests the cancellation of a task.", method = HttpMethod.Delete),
            TaskCommand(name = "why", summary = "Shows why a task waits, or its state.", suffix = listOf("why")),
        )
    }

    override fun help(context: Context): String = "Submits, shows and cancels tasks."
}
