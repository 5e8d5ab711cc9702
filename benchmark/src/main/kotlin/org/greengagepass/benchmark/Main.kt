/*
 * Entry point of the benchmark.
 */
package org.greengagepass.benchmark

import com.github.ajalt.clikt.core.main

/** Runs the benchmark with [arguments]. */
public fun main(arguments: Array<String>) {
    BenchmarkCommand().main(arguments)
}
