/*
 * The model of quick requests. They arrive at random, at the rate given by the workload. Under all placement policies,
 * each is routed to the one of two random hosts with the shorter expected wait.
 */
package org.greengagepass.benchmark

import org.HdrHistogram.Histogram
import kotlin.math.exp
import kotlin.math.ln
import kotlin.random.Random
import kotlin.random.asJavaRandom

internal class RequestModel(
    private val deployment: Deployment,
    private val workload: Workload,
    seed: Long,
) {
    private val random = Random(seed xor REQUEST_SEED)
    private val gaussian = random.asJavaRandom()
    private val meanMillis = deployment.medianMillis * exp(LOG_STANDARD_DEVIATION * LOG_STANDARD_DEVIATION / 2.0)
    private var arrivalMillis = 0.0

    fun serve(
        hosts: List<SimulatedHost>,
        fromMillis: Long,
        stepMillis: Long,
        latencyMicros: Histogram,
    ) {
        val slots = Deployment.HOSTS * Deployment.SLOTS
        val arrivalsPerMilli = workload.quickUtilization(fromMillis) * slots / meanMillis
        arrivalMillis = maxOf(arrivalMillis, fromMillis.toDouble())
        while (arrivalMillis < fromMillis + stepMillis) {
            val first = hosts[random.nextInt(hosts.size)]
            val second = hosts[random.nextInt(hosts.size)]
            val host = if (first.expectedWait(arrivalMillis) <= second.expectedWait(arrivalMillis)) first else second
            val workMillis = deployment.medianMillis * exp(LOG_STANDARD_DEVIATION * gaussian.nextGaussian())
            latencyMicros.recordValue((host.serve(arrivalMillis, workMillis) * MICROS_PER_MILLI).toLong())
            arrivalMillis += -ln(1.0 - random.nextDouble()) / arrivalsPerMilli
        }
    }
}

private const val REQUEST_SEED = 0x2545F491L
private const val MICROS_PER_MILLI = 1_000.0

/** Standard deviation of the logarithm of the service time. The 99th percentile is 2.5 times the median. */
private const val LOG_STANDARD_DEVIATION = 0.4
