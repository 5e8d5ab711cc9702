/*
 * Estimates how much best-effort tasks slow serving tasks on the same host, from measured latencies, for each pair of
 * images. Effects change within seconds, so the model is updated with every report.
 */
package org.greengagepass.core.process.jobs

import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.InterferenceModel
import org.greengagepass.core.process.InterferenceModelSettings
import org.greengagepass.core.process.SlowdownSample
import kotlin.math.ln

/**
 * Estimates effects from the reports of hosts, beginning with those that an earlier leader stored. All effects are
 * logarithms of a slowdown.
 */
public class InterferenceEstimates internal constructor(
    storedRecords: List<StateRecord>,
    startedAt: Timestamp,
) {
    private val model = InterferenceModel(MODEL_SETTINGS)

    init {
        model.restore(EstimateRecords.decode(storedRecords), startedAt)
    }

    /** The record from which the next leader continues. */
    internal fun record(): StateRecord = EstimateRecords.encode(model.pairEstimates())

    /** Updates the model from the newest report of [host]. */
    internal fun update(
        host: Host,
        now: Timestamp,
    ) {
        val bestEffortRuns = host.bestEffortRuns().filter { it.lastStatus != null }
        val shares =
            bestEffortRuns
                .groupBy { WorkKind(it.image) }
                .mapValues { (_, runs) -> runs.sumOf { share(host, it.lastStatus?.measurement ?: 0) } }
        measuredServing(host).forEach { placed ->
            val sample =
                SlowdownSample(
                    service = WorkKind(placed.image),
                    latencyMillis = (placed.lastStatus?.measurement ?: 0).toDouble(),
                    utilization = 0.0,
                    coreShares = shares,
                    measuredAt = now,
                    instance = WorkKind("${placed.image} ${placed.run.task}"),
                )
            model.train(sample)
        }
    }

    /**
     * Ratio of measured latency to the setpoint of the serving tasks of [host], as a logarithm, by their image and for
     * the worst task of each image. Negative values are headroom.
     */
    internal fun latencyExcesses(host: Host): Map<String, Double> =
        measuredServing(host)
            .groupBy { it.image }
            .mapValues { (_, runs) -> runs.maxOf(::latencyExcess) }

    private fun latencyExcess(placed: PlacedRun): Double {
        val objective = placed.task.step.sharing.latencyTargetMillis ?: 1
        val measured = placed.lastStatus?.measurement?.coerceAtLeast(1) ?: 1
        return ln(measured / (objective * SETPOINT_SHARE))
    }

    /** Effect of a task of [image] that uses [milliCores] of [host] on the serving tasks of image [service] there. */
    internal fun effect(
        host: Host,
        image: String,
        milliCores: Long,
        service: String,
    ): Double = ln(slowdown(host, image, milliCores, service).ratio)

    /** Upper estimate of the effect: the estimate plus its uncertainty, which is large with few observations. */
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

    /** Runs of serving tasks on [host] whose latency has been measured. */
    private fun measuredServing(host: Host): List<PlacedRun> =
        host.servingRuns().filter { (it.lastStatus?.measurement ?: 0) > 0 }

    private fun share(
        host: Host,
        milliCores: Int,
    ): Double =
        milliCores.toDouble() /
            host.description.capacity.milliCores
                .coerceAtLeast(1)

    private companion object {
        /** Latency setpoint as a share of the objective; leaves a margin since measurements lag by half a second. */
        private const val SETPOINT_SHARE = 0.8

        /**
         * Most pairs of images hardly interfere; a few do strongly, and consistently. A pair without observations is
         * assumed to cause a slowdown of a tenth when the task uses a tenth of the host.
         */
        private val MODEL_SETTINGS =
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
