/*
 * The newest leader announcement known to this process, updated from the store.
 */
package org.greengagepass.services.process

import kotlinx.coroutines.delay

/** Follows leader announcements in [store]. */
public class LeaderDirectory(
    private val store: StateStore,
    private val onFailure: (StoreFailure) -> Unit = {},
) {
    private var position = -1L

    /** The newest leadership known, or null. */
    public var newest: Leadership? = null
        private set

    /** True once the store has been read. */
    public val hasRead: Boolean
        get() = position >= 0

    /** Replaces the known leadership if [leadership] is newer. */
    public fun update(leadership: Leadership) {
        if (leadership.epoch > (newest?.epoch ?: return set(leadership))) newest = leadership
    }

    /** Follows announcements until the coroutine is cancelled. */
    public suspend fun follow() {
        while (true) {
            store.nextAnnouncement(position, WAIT_MILLIS).fold(
                { failure ->
                    onFailure(failure)
                    delay(RETRY_MILLIS)
                },
                { announced ->
                    position = announced.position
                    announced.leadership?.let(::update)
                },
            )
        }
    }

    private fun set(leadership: Leadership) {
        newest = leadership
    }

    private companion object {
        /** The platform charges for each call, and a wait ends at once when there is an announcement. */
        private const val WAIT_MILLIS = 15_000L
        private const val RETRY_MILLIS = 300L
    }
}
