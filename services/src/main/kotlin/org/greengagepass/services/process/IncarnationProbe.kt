/*
 * Asks the executor on a host which incarnation it is, without any effect on what it holds.
 */
package org.greengagepass.services.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.process.jobs.HostIncarnation

/** Whether an incarnation is the one that responds. */
public sealed class ProbeResult {
    /** The incarnation has responded and named its start time. */
    public data object Confirmed : ProbeResult()

    /** The executor has the name of the incarnation, but did not say when it started, since the epoch is outdated. */
    public data object Fenced : ProbeResult()

    /** Another incarnation responds; [detail] says what it responded. */
    public data class Denied(
        val detail: String,
    ) : ProbeResult()

    /** Nothing was learnt, for the reason in [detail]. */
    public data class Unanswered(
        val detail: String,
    ) : ProbeResult()
}

/** Probes the executor on a host. */
public fun interface IncarnationProbe {
    /** Asks once, in the name of the leader of [epoch], whether [incarnation] responds. */
    public suspend fun probe(
        incarnation: HostIncarnation,
        epoch: Epoch,
    ): ProbeResult
}
