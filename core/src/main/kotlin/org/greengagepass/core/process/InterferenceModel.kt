/*
 * Estimates how much each kind of batch work slows each latency-critical kind. The logarithm of the latency is modelled
 * as a base plus one term for the load of the service plus one for each kind on the same host, in proportion to the
 * share of the host's cores that the kind uses. Each term has a variance, which grows as its samples get old.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sqrt

/** Latency of one service on one host, with the share of the host's cores that each kind of task on it used. */
public data class SlowdownSample(
    val service: WorkKind,
    val latencyMillis: Double,
    /** Part of the service's slots that are in use, from 0 to 1. */
    val utilization: Double,
    val coreShares: Map<WorkKind, Double>,
    val measuredAt: Timestamp,
    /** What the base latency belongs to: the kind of the service, unless the base differs by instance. */
    val instance: WorkKind = service,
)

/** Decay, priors and variances of an [InterferenceModel]. */
public data class InterferenceModelSettings(
    /** Time in which a sample of a pair of service and task kind loses half of its weight, in milliseconds. */
    val halfLifeMillis: Long = InterferenceModel.HALF_LIFE_MILLIS,
    /** Assumption for a pair without samples: logarithm of the slowdown at full use of the host. */
    val priorMean: Double = 0.0,
    val priorVariance: Double = PRIOR_VARIANCE,
    /** Lower bounds of variances, so that the model keeps following a behaviour that changes. */
    val pairVarianceMinimum: Double = VARIANCE_MINIMUM,
    val baseVarianceMinimum: Double = VARIANCE_MINIMUM,
    /** Variance of the logarithm of one measurement. */
    val measurementVariance: Double = MEASUREMENT_VARIANCE,
)

/** Expected slowdown ratio, and the standard deviation of its logarithm. */
public data class Slowdown(
    val ratio: Double,
    val uncertainty: Double,
)

/** Estimate of the effect of [kind] on [service], as another model can take it over. */
public data class PairEstimate(
    val service: WorkKind,
    val kind: WorkKind,
    val mean: Double,
    val variance: Double,
)

/** Pairwise slowdowns. The update is a Kalman filter with a diagonal covariance. */
public class InterferenceModel(
    private val settings: InterferenceModelSettings = InterferenceModelSettings(),
) {
    private val bases = HashMap<WorkKind, Term>()
    private val loads = HashMap<WorkKind, Term>()
    private val pairs = HashMap<Pair<WorkKind, WorkKind>, Term>()

    /** Updates the model with [sample]. */
    public fun train(sample: SlowdownSample) {
        if (sample.latencyMillis <= 0.0) return
        val logLatency = ln(sample.latencyMillis)
        val base = bases.getOrPut(sample.instance) { Term(logLatency, BASE_VARIANCE, sample.measuredAt) }
        val load = loads.getOrPut(sample.service) { Term(0.0, PRIOR_VARIANCE, sample.measuredAt) }
        val inputs = arrayListOf(base to 1.0, load to loadInput(sample.utilization))
        sample.coreShares.forEach { (kind, share) ->
            val term =
                pairs.getOrPut(sample.service to kind) {
                    Term(settings.priorMean, settings.priorVariance, sample.measuredAt)
                }
            term.age(sample.measuredAt)
            inputs += term to share
        }
        update(inputs, logLatency)
    }

    /** Expected slowdown of [service] by [kind] using [coreShare] of the host's cores. */
    public fun slowdown(
        service: WorkKind,
        kind: WorkKind,
        coreShare: Double,
    ): Slowdown {
        val term = pairs[service to kind]
        val mean = term?.mean ?: settings.priorMean
        val variance = term?.variance ?: settings.priorVariance
        return Slowdown(ratio = exp(mean * coreShare), uncertainty = sqrt(variance) * coreShare)
    }

    /** The estimates of all pairs with samples. */
    public fun pairEstimates(): List<PairEstimate> =
        pairs.map { (pair, term) -> PairEstimate(pair.first, pair.second, term.mean, term.variance) }

    /** Takes over [estimates], which were current at [now]. */
    public fun restore(
        estimates: List<PairEstimate>,
        now: Timestamp,
    ): Unit = estimates.forEach { pairs[it.service to it.kind] = Term(it.mean, it.variance, now) }

    private fun update(
        inputs: List<Pair<Term, Double>>,
        logLatency: Double,
    ) {
        val error = logLatency - inputs.sumOf { (term, input) -> term.mean * input }
        val spread = settings.measurementVariance + inputs.sumOf { (term, input) -> input * input * term.variance }
        inputs.forEachIndexed { index, (term, input) ->
            val gain = term.variance * input / spread
            val mean = term.mean + gain * error
            // Neither load nor another task makes a service faster, so only the base may be negative.
            term.mean = if (index == 0) mean else mean.coerceAtLeast(0.0)
            val minimum = if (index == 0) settings.baseVarianceMinimum else settings.pairVarianceMinimum
            term.variance = (term.variance * (1.0 - gain * input)).coerceAtLeast(minimum)
        }
    }

    /** The waiting time in a queue grows with 1 / (1 - utilization); the input is the logarithm of that. */
    private fun loadInput(utilization: Double): Double = -ln(1.0 - utilization.coerceIn(0.0, UTILIZATION_MAXIMUM))

    private inner class Term(
        var mean: Double,
        var variance: Double,
        var agedAt: Timestamp,
    ) {
        fun age(now: Timestamp) {
            val elapsed = now.millisSince(agedAt).coerceAtLeast(0)
            val kept = HALF.pow(elapsed.toDouble() / settings.halfLifeMillis)
            mean = settings.priorMean + (mean - settings.priorMean) * kept
            variance = settings.priorVariance - (settings.priorVariance - variance) * kept
            agedAt = maxOf(agedAt, now)
        }
    }

    public companion object {
        /** Half-life of samples for pairs whose interference changes little. */
        public const val HALF_LIFE_MILLIS: Long = 600_000
    }
}

/** A kind without samples for a service is assumed to slow it by up to a factor e at full use of the host. */
private const val PRIOR_VARIANCE = 1.0
private const val BASE_VARIANCE = 0.25

/** Variance of the logarithm of a percentile of one window; a factor of 1.35 either way is common. */
private const val MEASUREMENT_VARIANCE = 0.09
private const val VARIANCE_MINIMUM = 1e-4
private const val UTILIZATION_MAXIMUM = 0.95
private const val HALF = 0.5
