/*
 * Starts an agent.
 */
package org.greengagepass.agent

import com.github.ajalt.clikt.core.main

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    AgentCommand().main(arguments)
}
