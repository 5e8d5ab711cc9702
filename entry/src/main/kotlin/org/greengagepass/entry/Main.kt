/*
 * Starts the process.
 */
package org.greengagepass.entry

/** Runs the program with [arguments]. */
public fun main(arguments: Array<String>) {
    println(arguments.joinToString())
}
