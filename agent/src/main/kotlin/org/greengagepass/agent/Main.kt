/*
 * Starts the process.
 */
package org.greengagepass.agent

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    println(arguments.joinToString())
}
