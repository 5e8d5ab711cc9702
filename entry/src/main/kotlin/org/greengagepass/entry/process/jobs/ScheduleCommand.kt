/*
 * The command that runs an entry on the platform.
 */
package org.greengagepass.entry.process.jobs

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.runBlocking
import org.greengagepass.entry.process.EXIT_CODE_INVALID_SETTINGS
import org.greengagepass.platform.PlatformSettings
import org.greengagepass.platform.SETTINGS_FILE_VARIABLE
import org.greengagepass.platform.watchSettings

/** Runs an entry until it receives SIGTERM. */
public class ScheduleCommand : CliktCommand(name = "schedule") {
    private val settingsFile by option(
        "--settings",
        envvar = SETTINGS_FILE_VARIABLE,
        help = "File with the platform's settings",
    ).path()
        .required()
    private val isCheck by option("--check", help = "Prints the effective settings and exits").flag()

    override fun help(context: Context): String =
        "Runs an entry on the platform until it receives SIGTERM: it serves callers and takes part in scheduling jobs."

    override fun run() {
        val settings =
            PlatformSettings.read(settingsFile).fold(
                { fault ->
                    echo("fault: $fault", err = true)
                    throw ProgramResult(EXIT_CODE_INVALID_SETTINGS)
                },
                { it },
            )
        if (isCheck) {
            echo(settings.toString())
        } else {
            watchSettings(settingsFile, settings)
            runBlocking { JobEntryProcess(settings).runUntilStopped() }
        }
    }
}
