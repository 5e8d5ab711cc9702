/*
 * Entry point of the stand-ins program.
 */
package org.greengagepass.standins

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs the command given by [arguments]. */
public fun main(arguments: Array<String>) {
    StandInsCommand()
        .subcommands(LogCommand(), WorkerCommand(), ExecutorCommand())
        .main(arguments)
}
