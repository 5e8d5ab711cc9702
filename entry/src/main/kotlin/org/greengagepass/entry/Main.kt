/*
 * Program of the entry: serves callers, operators and agents, and is the operators' command line.
 */
package org.greengagepass.entry

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.versionOption
import org.greengagepass.entry.process.ServeCommand

private class GreengagepassCommand : CliktCommand(name = "greengagepass") {
    init {
        versionOption(GreengagepassCommand::class.java.`package`.implementationVersion ?: "development")
    }

    override fun run() = Unit
}

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    GreengagepassCommand().subcommands(ServeCommand()).main(arguments)
}
