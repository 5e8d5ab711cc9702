/*
 * The newest leader known to this process, from announcements in the store and from connections.
 */
package org.greengagepass.services.process

import kotlinx.coroutines.delay
import org.greengagepass.core.Epoch

/** Follows leader announcements in [store]. [onFailure] gets the first failure of each outage. */
public class LeaderDirectory(
    private val store: StateStore,
    private val onFailure: (StoreFailure) -> Unit = {},
) {
    private var position = -1L
    private var isUnavailable = false

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

    /**
     * Records that the process at [address] has answered as the leader of [epoch]. A process that can't read the store
     * passes the address on to others, and recognises a newer leader.
     */
    public fun connected(
        epoch: Epoch,
        address: String,
    ): Unit = update(Leadership(epoch, entry = address, address = address))

    /** Follows announcements until the coroutine is cancelled. */
    public suspend fun follow() {
        while (true) {
            store.nextAnnouncement(position, WAIT_MILLIS).fold(
                { failure ->
                    if (!isUnavailable) onFailure(failure)
                    isUnavailable = true
                    delay(RETRY_MILLIS)
                },
                { announced ->
                    isUnavailable = false
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
