/*
 * Waits with a deadline during shutdown.
 */
package org.greengagepass.agent.process

import kotlinx.coroutines.delay
import org.greengagepass.core.Timestamp

private const val POLL_MILLIS = 20L

/** Waits for a condition for at most [millis]. */
internal class BoundedWait(
    private val clock: () -> Timestamp,
    millis: Long,
) {
    private val deadline = clock().plusMillis(millis)

    /** Returns when [condition] holds or the time has passed. */
    suspend fun await(condition: () -> Boolean) {
        while (!condition() && clock() < deadline) {
            delay(POLL_MILLIS)
        }
    }
}
