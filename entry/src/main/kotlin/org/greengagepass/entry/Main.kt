/*
 * Main program of the entry: the server for callers, operators and agents, and the operators' command line.
 */
package org.greengagepass.entry

import com.github.ajalt.clikt.core.main

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    GreengagepassCommand().main(arguments)
}
