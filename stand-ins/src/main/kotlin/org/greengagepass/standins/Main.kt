/*
 * Starts a stand-in.
 */
package org.greengagepass.standins

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    StandInsCommand()
        .subcommands(LogCommand(), WorkerCommand(), ExecutorCommand())
        .main(arguments)
}
