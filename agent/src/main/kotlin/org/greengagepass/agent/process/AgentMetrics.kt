/*
 * Metrics of the agent and their output in the Prometheus exposition format.
 */
package org.greengagepass.agent.process

import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.Meter
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.greengagepass.core.ResultCode
import java.util.concurrent.TimeUnit

/** Meters of one agent process. */
internal class AgentMetrics(
    private val registry: MeterRegistry = SimpleMeterRegistry(),
) {
    /** Records a request that ended with [code] after [durationMicros]. */
    fun recordRequest(
        code: ResultCode,
        durationMicros: Long,
    ) = registry
        .timer(
            "greengagepass.agent.requests",
            "code",
            code.number.toString(),
        ).record(durationMicros, TimeUnit.MICROSECONDS)

    /** Counts a call to the worker; [result] is `ok` or the reason for its failure. */
    fun recordWorkerCall(
        operation: String,
        result: String,
    ) = registry.counter("greengagepass.agent.worker.calls", "operation", operation, "result", result).increment()

    /** Counts a connection to an entry that ended or could not be opened. */
    fun recordDisconnection() = registry.counter("greengagepass.agent.disconnections").increment()

    /** Registers a gauge that reports the value of [read] as [name]. */
    fun gauge(
        name: String,
        read: () -> Number,
    ) {
        Gauge
            .builder("greengagepass.agent.$name", read)
            .strongReference(true)
            .register(registry)
    }

    /** Returns all meters as text. */
    fun text(): String = registry.meters.sortedBy { it.id.name }.joinToString(separator = "", transform = ::format)

    private fun format(meter: Meter): String {
        val name = meter.id.name.replace('.', '_')
        val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
        val labels = if (tags.isEmpty()) "" else "{$tags}"
        return meter.measure().joinToString(
            "",
        ) { "${name}_${it.statistic.tagValueRepresentation}$labels ${it.value}\n" }
    }
}
