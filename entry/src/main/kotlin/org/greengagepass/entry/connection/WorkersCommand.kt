/*
 * The operators' commands for workers.
 */
package org.greengagepass.entry.connection

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import org.greengagepass.entry.process.Column
import org.greengagepass.entry.process.OperatorCommand

private class WorkersListCommand :
    OperatorCommand(name = "list", summary = "Lists the workers whose agents are connected to the entry.") {
    override fun run() =
        showList(
            listOf("v1", "workers"),
            listOf(
                Column("HOST", "host"),
                Column("FAILURE-DOMAIN", "failureDomain"),
                Column("RACK", "rack"),
                Column("MILLI-CORES", "capacity.milliCores"),
                Column("MEMORY-MB", "capacity.memoryMegabytes"),
                Column("FREE-MILLI-CORES", "free.milliCores"),
                Column("FREE-MEMORY-MB", "free.memoryMegabytes"),
                Column("TASKS", "tasks"),
                Column("DRAINING", "draining"),
            ),
        )
}

/** Commands for workers. */
public class WorkersCommand : NoOpCliktCommand(name = "workers") {
    init {
        subcommands(WorkersListCommand())
    }

    override fun help(context: Context): String = "Lists workers."
}
