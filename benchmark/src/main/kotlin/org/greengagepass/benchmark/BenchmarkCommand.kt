/*
 * The command line interface of the benchmark.
 */
package org.greengagepass.benchmark

import com.github.ajalt.clikt.core.CoreCliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long

/** Compares the policies on one deployment, or measures the cost of placement decisions. */
public class BenchmarkCommand : CoreCliktCommand(name = "benchmark") {
    private val seed by option(help = "Seed of all random choices").long().default(1)
    private val deployment by
        option(help = "Deployment to model").enum<KnownDeployment> { it.name.lowercase() }.default(KnownDeployment.SFAX)
    private val policies by
        option("--policy", help = "Policy to run; may be repeated, all if absent")
            .enum<Policy> { it.name.lowercase().replace('_', '-') }
            .multiple(default = Policy.entries)
    private val minutes by option(help = "Simulated minutes of each run").int().default(DEFAULT_MINUTES)
    private val interference by
        option(help = "Multiplies the slowdown of services by batch work").double().default(1.0)
    private val decisions by option(help = "Measure the cost of decisions instead").flag()

    override fun run() {
        if (decisions) {
            DecisionCost(seed).measure().forEach { echo(it.tableRow) }
        } else {
            Scenario.entries.forEach(::compare)
        }
    }

    private fun compare(scenario: Scenario) {
        val duration = minutes * MILLIS_PER_MINUTE
        val model = deployment.deployment
        val results =
            policies
                .parallelStream()
                .map { it to Simulation(model, scenario, it, duration, seed, interference).run() }
                .toList()
                .toMap()
        Comparison(model, scenario, seed, duration, interference).lines(results).forEach { echo(it) }
    }
}

private const val DEFAULT_MINUTES = 30
private const val MILLIS_PER_MINUTE = 60_000L
