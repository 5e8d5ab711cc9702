/*
 * Counters and latency histograms of an entry.
 */
package org.greengagepass.entry.process.jobs

import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Timer
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.greengagepass.platform.AnsweredRequest
import java.time.Duration

/** Metrics of one process. */
public class JobEntryMetrics {
    private val prometheus = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)

    /** Registry for the metrics of other classes. */
    public val registry: MeterRegistry = prometheus

    /** Records that [request] was answered after [millis]. */
    public fun answered(
        request: AnsweredRequest,
        millis: Long,
    ) {
        Timer
            .builder("greengagepass.requests")
            .tag("method", request.method)
            .tag("status", request.status.toString())
            .publishPercentileHistogram()
            .minimumExpectedValue(Duration.ofMillis(1))
            .maximumExpectedValue(Duration.ofSeconds(MAXIMUM_SECONDS))
            .register(prometheus)
            .record(Duration.ofMillis(millis))
    }

    /** All metrics as text. */
    public fun text(): String = prometheus.scrape()

    private companion object {
        /** Longer than callers wait for an answer. */
        private const val MAXIMUM_SECONDS = 10L
    }
}
