/*
 * Metrics of an entry as a Prometheus page. Counters and timers are updated at each event; gauges show the state at the
 * time of the scrape.
 */
package org.greengagepass.entry.process

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MultiGauge
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Tags
import io.micrometer.core.instrument.Timer
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics
import io.micrometer.prometheusmetrics.PrometheusConfig
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import org.greengagepass.core.FencingToken
import org.greengagepass.core.ResultCode
import java.time.Duration
import java.util.concurrent.ConcurrentHashMap

/** The state at the time of a scrape. */
public data class MetricsSample(
    val status: StatusView,
    val tasksByState: Map<String, Int>,
    val queueLengthByService: Map<String, Int>,
)

/** The metrics of this process. */
public class EntryMetrics {
    private val registry = PrometheusMeterRegistry(PrometheusConfig.DEFAULT)
    private val services = ConcurrentHashMap.newKeySet<String>()
    private val evicted = LinkedHashSet<FencingToken>()
    private val evictions = Counter.builder("greengagepass.evictions").register(registry)
    private val tasks = multiGauge("greengagepass.tasks")
    private val upstreamQueue = multiGauge("greengagepass.upstream.queue.length")
    private val partitionQueue = multiGauge("greengagepass.partition.queue.length")
    private val owned = multiGauge("greengagepass.partition.owned")
    private var sample: MetricsSample? = null

    init {
        JvmMemoryMetrics().bindTo(registry)
        gauge("greengagepass.log.lag.seconds") { it.logLagMillis?.toDouble()?.div(MILLIS_PER_SECOND) ?: Double.NaN }
        gauge("greengagepass.log.available") { if (it.logAvailable) 1.0 else 0.0 }
        gauge("greengagepass.configuration.version") { it.configurationVersion.toDouble() }
        gauge("greengagepass.agents.connected") { it.agentsConnected.toDouble() }
        gauge("greengagepass.peers.connected") { it.peersConnected.toDouble() }
        gauge("greengagepass.requests.in.progress") { it.requestsInProgress.toDouble() }
        gauge("greengagepass.ready") { if (it.ready) 1.0 else 0.0 }
    }

    /** Records that a request for [service] was answered after [nanos]. */
    public fun answered(
        service: String,
        outcome: String,
        nanos: Long,
    ) {
        Timer
            .builder("greengagepass.request.latency")
            .tags("service", boundedName(service), "outcome", outcome)
            .publishPercentileHistogram()
            .minimumExpectedValue(LATENCY_MINIMUM)
            .maximumExpectedValue(LATENCY_MAXIMUM)
            .register(registry)
            .record(Duration.ofNanos(nanos))
    }

    /** Counts a call that was refused with [code]. */
    public fun refused(code: ResultCode) {
        registry.counter("greengagepass.refusals", "code", code.number.toString(), "name", code.name).increment()
    }

    /** Counts the eviction of the attempt [token]. Agents repeat events, so each token counts once. */
    public fun evicted(token: FencingToken) {
        if (evicted.add(token)) evictions.increment()
        if (evicted.size > EVICTED_TOKENS_MAXIMUM) evicted.remove(evicted.first())
    }

    /** The metrics page with the state in [current]. */
    @Synchronized
    public fun page(current: MetricsSample): String {
        sample = current
        tasks.fill(current.tasksByState, "state")
        upstreamQueue.fill(current.queueLengthByService, "service")
        val partitions = current.status.partitions
        partitionQueue.fill(partitions.associate { it.number.toString() to it.queueLength }, "partition")
        owned.fill(partitions.associate { it.number.toString() to if (it.owned) 1 else 0 }, "partition")
        return registry.scrape()
    }

    private fun gauge(
        name: String,
        value: (StatusView) -> Double,
    ) {
        Gauge.builder(name) { sample?.let { value(it.status) } ?: Double.NaN }.register(registry)
    }

    private fun multiGauge(name: String): MultiGauge = MultiGauge.builder(name).register(registry)

    private fun MultiGauge.fill(
        values: Map<String, Int>,
        tag: String,
    ) {
        register(values.map { (name, value) -> MultiGauge.Row.of(Tags.of(Tag.of(tag, name)), value) }, true)
    }

    /** Callers choose the names of services; the bound keeps invalid names from filling memory. */
    private fun boundedName(service: String): String =
        if (service in services || (services.size < SERVICES_MAXIMUM && services.add(service))) service else "other"

    private companion object {
        private const val MILLIS_PER_SECOND = 1_000.0
        private const val SERVICES_MAXIMUM = 200
        private const val EVICTED_TOKENS_MAXIMUM = 10_000
        private val LATENCY_MINIMUM = Duration.ofMillis(1)
        private val LATENCY_MAXIMUM = Duration.ofSeconds(5)
    }
}
