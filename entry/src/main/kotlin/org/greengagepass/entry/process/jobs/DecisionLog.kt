/*
 * Writes one JSON line for each decision about a job or a host and for each change of an estimate, and counts
 * decisions by name.
 */
package org.greengagepass.entry.process.jobs

import io.micrometer.core.instrument.MeterRegistry
import org.apache.logging.log4j.LogManager
import org.apache.logging.log4j.message.StringMapMessage
import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.Decision

/** Writes decisions and counts them in [registry]. */
public class DecisionLog(
    private val registry: MeterRegistry,
) {
    /** Records [decision] of the leader of [epoch]. */
    public fun write(
        decision: Decision,
        epoch: Epoch,
    ) {
        registry.counter("greengagepass.decisions", "name", decision.name).increment()
        val message = StringMapMessage()
        message.put("decision", decision.name)
        message.put("epoch", epoch.value.toString())
        decision.job?.let { message.put("job", it.value) }
        decision.run?.let { run ->
            message.put("task", "${run.task.occurrence}.${run.task.step}.${run.task.index}")
            message.put("run", run.number.toString())
        }
        decision.host?.let { message.put("host", "${it.host.value}/${it.executor.value}") }
        if (decision.detail.isNotEmpty()) message.put("detail", decision.detail)
        logger.info(message)
    }

    private companion object {
        private val logger = LogManager.getLogger("org.greengagepass.decisions")
    }
}
