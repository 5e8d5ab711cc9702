/*
 * Program of the entry: serves callers, operators and agents, and is the operators' command line.
 */
package org.greengagepass.entry

import com.github.ajalt.clikt.core.main

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    GreengagepassCommand().main(arguments)
}
