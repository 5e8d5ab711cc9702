/*
 * Counters of an agent on the platform.
 */
package org.greengagepass.agent.process.jobs

import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import org.greengagepass.core.process.jobs.StartOutcome

/** Metrics of one agent. */
internal class HostMetrics {
    private val registry = SimpleMeterRegistry()

    /**
     * Counts a start command by [outcome], which is null if a stop has withdrawn the command or its scheduler stopped
     * being current first.
     */
    fun recordStart(
        outcome: StartOutcome?,
        isWithdrawn: Boolean,
    ) {
        val name = outcome?.name?.lowercase() ?: if (isWithdrawn) "withdrawn" else "lost"
        registry.counter("greengagepass_agent_starts", "outcome", name).increment()
    }

    /** Counts a crash of the executor. */
    fun recordCrash(): Unit = registry.counter("greengagepass_agent_executor_crashes").increment()

    /** Returns all counters as text, one per line. */
    fun text(): String =
        registry.meters.filterIsInstance<Counter>().joinToString("") { counter ->
            val tags = counter.id.tags.joinToString(",") { "${it.key}=\"${it.value}\"" }
            "${counter.id.name}{$tags} ${counter.count()}\n"
        }
}
