/*
 * Graceful shutdown of an entry for one partition.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Timestamp

/** Releases the partition once no request is in progress or the shutdown deadline has passed. */
internal class Shutdown(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
) {
    private var deadline: Timestamp? = null
    private var isDone = false

    /** Starts the shutdown. */
    fun begin() {
        ownership.stop()
        deadline = deadline ?: context.now.plusMillis(context.settings.shutdownMillis)
    }

    /** Releases the partition if that is due; [isBusy] is true while requests are in progress. */
    fun tick(isBusy: Boolean) {
        val end = deadline ?: return
        if (!isBusy || context.now >= end) {
            ownership.release()
        }
        if (!isDone && ownership.ownedEpoch == null && context.appender.size == 0) {
            isDone = true
            context.decide(OwnerDecision.ReleaseRecorded)
        }
    }
}
