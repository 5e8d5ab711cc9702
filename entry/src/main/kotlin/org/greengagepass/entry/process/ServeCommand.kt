/*
 * The commands that run an entry and that check its settings. Each setting is a flag and an environment variable.
 */
package org.greengagepass.entry.process

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.coroutines.runBlocking

/** Exit code of a command whose settings have faults. */
public const val EXIT_CODE_INVALID_SETTINGS: Int = 2

/** A command that takes the settings of an entry. */
public abstract class EntrySettingsCommand(
    name: String,
) : CliktCommand(name = name) {
    private val settingOptions =
        EntrySetting.entries.associateWith { setting ->
            option(setting.flag, envvar = setting.environmentVariable, help = setting.help)
        }

    init {
        settingOptions.values.forEach { registerOption(it) }
    }

    /** The settings as given. */
    protected fun read(): EntrySettingsReader =
        EntrySettingsReader(
            buildMap { settingOptions.forEach { (setting, option) -> option.value?.let { put(setting, it) } } },
        )

    /** Prints [faults], and exits if there are any. */
    protected fun exitIfFaulty(faults: List<String>) {
        faults.forEach { echo("fault: $it", err = true) }
        if (faults.isNotEmpty()) throw ProgramResult(EXIT_CODE_INVALID_SETTINGS)
    }
}

/** Runs an entry until it receives SIGTERM. */
public class ServeCommand : EntrySettingsCommand(name = "serve") {
    override fun help(context: Context): String =
        "Runs an entry process until it receives SIGTERM. Log lines go to standard error; the environment variable " +
            "GREENGAGEPASS_LOG_LEVEL sets their level (error, warn, info or debug; default info)."

    override fun run() {
        val reader = read()
        exitIfFaulty(reader.faults)
        runBlocking { EntryProcess(reader.settings).runUntilStopped() }
    }
}

/** Prints the effective settings and every fault in them. */
public class ConfigCheckCommand(
    private val environment: () -> Map<String, String> = System::getenv,
) : EntrySettingsCommand(name = "check") {
    override fun help(context: Context): String =
        "Prints the settings that serve would use, without secrets, and every fault. Exit code 2 if there are faults."

    override fun run() {
        val reader = read()
        reader.settings.describe().forEach { echo(it) }
        exitIfFaulty(reader.faults + unknownVariableFaults(environment().keys))
    }
}

/** Commands about the settings of an entry. */
public class ConfigCommand : NoOpCliktCommand(name = "config") {
    init {
        subcommands(ConfigCheckCommand())
    }

    override fun help(context: Context): String = "Checks the settings of an entry."
}
