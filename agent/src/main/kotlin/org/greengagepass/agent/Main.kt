/*
 * Entry point of the agent process.
 */
package org.greengagepass.agent

import com.github.ajalt.clikt.core.main

/** Runs the program with [arguments]. The first argument `host` selects the agent on the platform. */
public fun main(arguments: Array<String>) {
    if (arguments.firstOrNull() == "host") {
        HostCommand().main(arguments.drop(1))
    } else {
        AgentCommand().main(arguments)
    }
}
