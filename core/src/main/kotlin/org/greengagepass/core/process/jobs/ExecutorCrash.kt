/*
 * Crash of an executor as the agent of its host observed it. The agent alone knows which start commands reached the
 * executor and how long each run had been there, whatever happens to the leader.
 */
package org.greengagepass.core.process.jobs

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray

/** A run that an executor held, or may have held, when it crashed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
public data class RunAtCrash(
    val run: TaskRun,
    /** When the run's first start command was sent, as a reading of the agent's monotonic clock. */
    val startedAtAgentClock: Long,
)

/** End of the executor of [incarnation] without drain or deregistration, while its host's agent kept running. */
@Serializable
public data class ExecutorCrash(
    val incarnation: HostIncarnation,
    /** When the executor stopped answering, as a reading of the agent's monotonic clock. */
    val crashedAtAgentClock: Long,
    /** The same moment as calendar time of the host, to compare it with crashes on other hosts. */
    val crashedAtEpochMillis: Long,
    /** The runs that had been there for the shortest time, shortest first. */
    val runs: List<RunAtCrash>,
) {
    /** How long [atCrash] had been on the executor. */
    public fun ageMillis(atCrash: RunAtCrash): Long =
        (crashedAtAgentClock - atCrash.startedAtAgentClock).coerceAtLeast(0)
}
