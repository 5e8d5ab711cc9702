/*
 * The results of one scenario as a Markdown table, with ratios to the least-loaded policy on the same arrivals.
 */
package org.greengagepass.benchmark

import java.util.Locale

/** Formats the results of the policies as rows of one table. */
public class Comparison(
    private val deployment: Deployment,
    private val scenario: Scenario,
    private val seed: Long,
    private val durationMillis: Long,
    private val interference: Double,
) {
    /** Returns the lines of the table for [results]. */
    public fun lines(results: Map<Policy, RunResult>): List<String> {
        val baseline = results[Policy.LEAST_LOADED]
        val title = "${deployment.name}, ${scenario.name.lowercase()}, seed $seed, interference x$interference"
        val head =
            listOf(
                "$title, ${durationMillis / MILLIS_PER_MINUTE} min",
                "| policy | p50 ms | p99 ms | p99.9 ms | p99 ratio | core hours | batch ratio | tasks | throttles " +
                    "| evictions | refused | work of allowed | limits of capacity |",
                "|---|---|---|---|---|---|---|---|---|---|---|---|---|",
            )
        return head + results.map { (policy, result) -> row(policy, result, baseline) } + ""
    }

    private fun row(
        policy: Policy,
        result: RunResult,
        baseline: RunResult?,
    ): String {
        val latencies = listOf(P50, P99, P99_9).map { number(result.percentileMillis(it)) }
        val cells =
            listOf(policy.name.lowercase().replace('_', '-')) +
                latencies +
                ratio(baseline) { result.percentileMillis(P99) / it.percentileMillis(P99) } +
                number(result.coreHours) +
                ratio(baseline) { result.coreHours / it.coreHours } +
                listOf(result.finishedTasks, result.throttles, result.evictions, result.refusedStarts).map { "$it" } +
                ratiosDuringOutage(result)
        return cells.joinToString(separator = " | ", prefix = "| ", postfix = " |")
    }

    /** Ratios from when the failure domain is taken out of service until a minute after it is put back. */
    private fun ratiosDuringOutage(result: RunResult): List<String> {
        if (scenario != Scenario.FAILURE_DOMAIN) return listOf("-", "-")
        val from = durationMillis / PHASES
        val until = durationMillis * 2 / PHASES + MILLIS_PER_MINUTE
        return listOf(number(result.workOfAttainable(from, until)), number(result.limitsOfCapacity(from, until)))
    }

    private fun ratio(
        baseline: RunResult?,
        value: (RunResult) -> Double,
    ): String = baseline?.let { number(value(it)) } ?: "-"

    private fun number(value: Double): String = String.format(Locale.ROOT, "%.3f", value)
}

private const val P50 = 50.0
private const val P99 = 99.0
private const val P99_9 = 99.9
private const val PHASES = 3
private const val MILLIS_PER_MINUTE = 60_000L
