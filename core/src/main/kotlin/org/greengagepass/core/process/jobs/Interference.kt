/*
 * What tasks that use spare processor time do to the serving tasks beside them, learnt from measured latencies by
 * pair of images. Effects change within seconds, so the model keeps learning.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.InterferenceModel
import org.greengagepass.core.process.InterferenceModelSettings
import org.greengagepass.core.process.SlowdownSample
import kotlin.math.ln

/** Learns from the reports of hosts. All effects are logarithms of a slowdown. */
public class Interference {
    private val model = InterferenceModel(MEMORY)

    /** Learns from the newest report of [host]. */
    internal fun learn(
        host: Host,
        now: Timestamp,
    ) {
        val fillers = host.spareUsers().filter { it.lastStatus != null }
        val shares =
            fillers
                .groupBy { WorkKind(it.image) }
                .mapValues { (_, runs) -> runs.sumOf { share(host, it.lastStatus?.measurement ?: 0) } }
        measuredServing(host).forEach { held ->
            val sample =
                SlowdownSample(
                    service = WorkKind(held.image),
                    latencyMillis = (held.lastStatus?.measurement ?: 0).toDouble(),
                    utilization = 0.0,
                    coreShares = shares,
                    measuredAt = now,
                    instance = WorkKind("${held.image} ${held.run.task}"),
                )
            model.learn(sample)
        }
    }

    /**
     * How far the serving tasks of [host] are above the latency that is aimed at, by their image: the logarithm of the
     * ratio for the worst task of each, negative below.
     */
    internal fun excesses(host: Host): Map<String, Double> =
        measuredServing(host)
            .groupBy { it.image }
            .mapValues { (_, runs) -> runs.maxOf(::excess) }

    private fun excess(held: HeldRun): Double {
        val target = held.entry.step.sharing.latencyTargetMillis ?: 1
        val measured = held.lastStatus?.measurement?.coerceAtLeast(1) ?: 1
        return ln(measured / (target * AIMED_SHARE))
    }

    /** Effect of a task of [image] that uses [milliCores] of [host] on the serving tasks of image [service] there. */
    internal fun effect(
        host: Host,
        image: String,
        milliCores: Long,
        service: String,
    ): Double = ln(slowdown(host, image, milliCores, service).ratio)

    /** The largest effect that is likely by what is known, for tasks of which little has been seen. */
    internal fun likelyEffect(
        host: Host,
        image: String,
        milliCores: Long,
        service: String,
    ): Double = slowdown(host, image, milliCores, service).let { ln(it.ratio) + it.uncertainty }

    /** Effect of a task of [image] that uses [milliCores] on the serving task of [host] that it slows most. */
    internal fun worstEffect(
        host: Host,
        image: String,
        milliCores: Long,
    ): Double = host.servingRuns().maxOfOrNull { effect(host, image, milliCores, it.image) } ?: 0.0

    private fun slowdown(
        host: Host,
        image: String,
        milliCores: Long,
        service: String,
    ) = model.slowdown(WorkKind(service), WorkKind(image), share(host, milliCores.toInt()))

    /** Serving tasks of [host] whose latency is known. */
    private fun measuredServing(host: Host): List<HeldRun> =
        host.servingRuns().filter { (it.lastStatus?.measurement ?: 0) > 0 }

    private fun share(
        host: Host,
        milliCores: Int,
    ): Double =
        milliCores.toDouble() /
            host.description.capacity.milliCores
                .coerceAtLeast(1)

    private companion object {
        /** Latency that is aimed at, as a share of the bound; measurements lag by half a second. */
        private const val AIMED_SHARE = 0.8

        /**
         * Most pairs hardly disturb each other and a few do strongly, for as long as they were seen: a pair that was
         * never seen is taken to slow by a tenth at a tenth of the host.
         */
        private val MEMORY =
            InterferenceModelSettings(
                halfLifeMillis = 60_000,
                priorMean = 1.0,
                priorVariance = 4.0,
                pairVarianceMinimum = 0.3,
                baseVarianceMinimum = 0.02,
                measurementVariance = 0.05,
            )
    }
}
