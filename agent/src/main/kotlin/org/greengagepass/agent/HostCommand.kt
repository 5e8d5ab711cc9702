/*
 * Command that runs an agent on the platform.
 */
package org.greengagepass.agent

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.context
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import kotlinx.coroutines.runBlocking
import org.greengagepass.agent.process.jobs.HostProcess
import org.greengagepass.platform.PlatformSettings
import org.greengagepass.platform.SETTINGS_FILE_VARIABLE
import org.greengagepass.platform.watchSettings
import java.nio.file.Path

private const val EXIT_INVALID_SETTINGS = 2

/** Runs an agent on the platform until the process is terminated. */
internal class HostCommand : CoreCliktCommand(name = "host") {
    private val settingsFile by option("--settings", envvar = SETTINGS_FILE_VARIABLE, help = "The platform's settings")
        .required()

    init {
        // clikt-core reads no environment variables by default.
        context { readEnvvar = System::getenv }
    }

    override fun run() {
        val path = Path.of(settingsFile)
        val settings =
            PlatformSettings.read(path).fold(
                { fault ->
                    echo("fault: $fault", err = true)
                    throw ProgramResult(EXIT_INVALID_SETTINGS)
                },
                { it },
            )
        watchSettings(path, settings)
        runBlocking { HostProcess(settings).run() }
    }
}
