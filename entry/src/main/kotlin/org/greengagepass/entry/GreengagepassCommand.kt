/*
 * The commands of the program: those that run an entry, and those by which operators control it.
 */
package org.greengagepass.entry

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import org.greengagepass.entry.connection.WorkersCommand
import org.greengagepass.entry.process.ConfigCommand
import org.greengagepass.entry.process.ServeCommand
import org.greengagepass.entry.process.jobs.ScheduleCommand
import org.greengagepass.entry.request.TasksCommand
import org.greengagepass.entry.version.FailureDomainsCommand
import org.greengagepass.entry.version.ProfilesCommand
import org.greengagepass.entry.version.QuotasCommand

/** The root command. */
public class GreengagepassCommand : NoOpCliktCommand(name = "greengagepass") {
    init {
        versionOption(GreengagepassCommand::class.java.`package`.implementationVersion ?: "development")
        subcommands(
            ServeCommand(),
            ScheduleCommand(),
            ConfigCommand(),
            ProfilesCommand(),
            FailureDomainsCommand(),
            TasksCommand(),
            WorkersCommand(),
            QuotasCommand(),
        )
    }

    override fun help(context: Context): String = "Runs entries, and is the operators' command line."
}
