/*
 * Writes the log lines, metrics and reports that follow from calls to the worker.
 */
package org.greengagepass.agent.process

import org.greengagepass.services.process.PlatformError

/** Observes the worker for the agent. [onReplaced] is called when a newer agent has attached to the worker. */
internal class WorkerEvents(
    private val log: AgentLog,
    private val metrics: AgentMetrics,
    private val reporter: OwnerReporter,
    private val onReplaced: () -> Unit,
) : WorkerObserver {
    override fun eventsChanged() {
        reporter.sendUnsent().forEach { event ->
            log.info(
                "task ${event.change.javaClass.simpleName.lowercase()}",
                LogSubject(taskId = event.taskId, token = event.token),
            )
        }
    }

    override fun replaced() {
        log.warn("a newer agent has attached to the worker")
        onReplaced()
    }

    override fun called(
        operation: String,
        error: PlatformError?,
    ) {
        val result =
            when (error) {
                null -> "ok"
                is PlatformError.NoAnswer -> "no_answer"
                is PlatformError.Refused -> error.reason.name.lowercase()
            }
        metrics.recordWorkerCall(operation, result)
        if (error != null) log.warn("worker call $operation failed: ${error.detail}")
    }
}
