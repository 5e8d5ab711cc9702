/*
 * Metrics of the agent, and their text in the Prometheus exposition format.
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
    /** A request ended with [code] after [durationMicros]. */
    fun requestEnded(
        code: ResultCode,
        durationMicros: Long,
    ) = registry
        .timer(
            "greengagepass.agent.requests",
            "code",
            code.number.toString(),
        ).record(durationMicros, TimeUnit.MICROSECONDS)

    /** A call to the worker ended; [result] is `ok` or the reason why it failed. */
    fun workerCalled(
        operation: String,
        result: String,
    ) = registry.counter("greengagepass.agent.worker.calls", "operation", operation, "result", result).increment()

    /** A connection to an entry ended. */
    fun disconnected() = registry.counter("greengagepass.agent.disconnections").increment()

    /** Shows the value of [read] as [name]. */
    fun gauge(
        name: String,
        read: () -> Number,
    ) {
        Gauge
            .builder("greengagepass.agent.$name", read)
            .strongReference(true)
            .register(registry)
    }

    /** All meters as text. */
    fun text(): String = registry.meters.sortedBy { it.id.name }.joinToString(separator = "", transform = ::lines)

    private fun lines(meter: Meter): String {
        val name = meter.id.name.replace('.', '_')
        val tags = meter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
        val labels = if (tags.isEmpty()) "" else "{$tags}"
        return meter.measure().joinToString(
            "",
        ) { "${name}_${it.statistic.tagValueRepresentation}$labels ${it.value}\n" }
    }
}
