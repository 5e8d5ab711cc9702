/*
 * Settings of an agent, from flags or environment variables.
 */
package org.greengagepass.agent.process

import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources

/** Settings of one agent process. */
internal data class AgentSettings(
    val host: HostId,
    val incarnation: Incarnation,
    val failureDomain: FailureDomainName,
    val rack: RackName,
    val entryAddresses: List<String>,
    val workerAddress: String,
    val listenHost: String,
    val listenPort: Int,
    val reserve: Resources,
    val drainMillis: Long = DRAIN_MILLIS,
    val checkpointIntervalMillis: Long = CHECKPOINT_INTERVAL_MILLIS,
) {
    companion object {
        /** Time that a stopping agent gives requests in progress to finish. */
        const val DRAIN_MILLIS: Long = 30_000

        /** Time between checkpoints, which bounds the work that a task loses when its host fails. */
        const val CHECKPOINT_INTERVAL_MILLIS: Long = 60_000
    }
}
