/*
 * Quick requests: they arrive at random with the load of the workload, and each goes to the better of two random
 * hosts by expected wait, whatever the placement policy.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

internal class QuickRequests(
    private val deployment: Deployment,
    private val workload: Workload,
    seed: Long,
) {
    private val random = Random(seed xor REQUEST_SEED)
    private val gaussian = random.asJavaRandom()
    private val meanMillis = deployment.medianMillis * exp(SPREAD * SPREAD / 2.0)
    private var nextMillis = 0.0

    fun serve(
        hosts: List<SimulatedHost>,
        fromMillis: Long,
        stepMillis: Long,
        latencyMicros: Histogram,
    ) {
        val slots = Deployment.HOSTS * Deployment.SLOTS
        val perMilli = workload.quickUtilization(fromMillis) * slots / meanMillis
        nextMillis = maxOf(nextMillis, fromMillis.toDouble())
        while (nextMillis < fromMillis + stepMillis) {
            val first = hosts[random.nextInt(hosts.size)]
            val second = hosts[random.nextInt(hosts.size)]
            val host = if (first.expectedWait(nextMillis) <= second.expectedWait(nextMillis)) first else second
            val work = deployment.medianMillis * exp(SPREAD * gaussian.nextGaussian())
            latencyMicros.recordValue((host.serve(nextMillis, work) * MICROS).toLong())
            nextMillis += -ln(1.0 - random.nextDouble()) / perMilli
        }
    }
}

private const val REQUEST_SEED = 0x2545F491L
private const val MICROS = 1_000.0

/** Standard deviation of the logarithm of a request's time; the 99th percentile is 2.5 times the median. */
private const val SPREAD = 0.4
