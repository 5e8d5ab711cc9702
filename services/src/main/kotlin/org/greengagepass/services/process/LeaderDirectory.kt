/*
 * The newest announcement of a leader that this process has heard of, followed in the store.
 */
package org.greengagepass.services.process

import kotlinx.coroutines.delay

/** Follows announcements in [store]. */
public class LeaderDirectory(
    private val store: StateStore,
    private val onFailure: (StoreFailure) -> Unit = {},
) {
    private var position = -1L

    /** The newest leadership known, or null. */
    public var newest: Leadership? = null
        private set

    /** True once the store has been asked. */
    public val hasRead: Boolean
        get() = position >= 0

    /** Takes [leadership] if it is newer than what is known. */
    public fun update(leadership: Leadership) {
        if (leadership.epoch > (newest?.epoch ?: return set(leadership))) newest = leadership
    }

    /** Follows until its coroutine is cancelled. */
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
        /** Each wait is one priced call; the answer comes at once when there is news. */
        private const val WAIT_MILLIS = 15_000L
        private const val RETRY_MILLIS = 300L
    }
}
