/*
 * Decides when this entry claims the leadership, and claims it. A leader that is known to be gone is replaced at once.
 * One that is only silent may have lost its connection to this entry alone, so it is replaced only after the store
 * shows that it has stopped writing.
 */
package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.Epoch
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.JobTable
import org.greengagepass.core.process.jobs.SchedulerSettings
import org.greengagepass.core.process.jobs.StoredJobs
import org.greengagepass.services.process.AppendIdentity
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.Leadership
import org.greengagepass.services.process.StateSnapshot
import org.greengagepass.services.process.StoreFailure
import kotlin.random.Random

/** Name of this entry and the address at which others reach it. */
public data class EntryIdentity(
    val name: String,
    val address: String,
)

/** Claims the leadership for [identity]. */
public class LeadershipCandidate(
    private val identity: EntryIdentity,
    private val settings: SchedulerSettings,
    private val directory: LeaderDirectory,
    private val context: LeaderContext,
    private val random: Random = Random.Default,
) {
    private var lastAliveAt: Timestamp = context.clock().now
    private var excludedEpoch: Epoch? = null
    private var epochFloor = Epoch.NONE
    private var readableAgainAt: Timestamp? = null

    /** The leader has replied, and its store is available. */
    public fun onLeaderAlive() {
        lastAliveAt = context.clock().now
        excludedEpoch = null
    }

    /** The leader of [epoch] has reported that its store is unavailable. */
    public fun onStoreUnavailable(epoch: Epoch) {
        excludedEpoch = epoch
    }

    /** True if the leader has been silent for too long. */
    public fun isSilent(): Boolean = context.clock().now.millisSince(lastAliveAt) >= SILENCE_MILLIS

    /**
     * The process at [address] is not the leader. Excludes only the leadership that is known now, because the same
     * process may begin to lead a moment later.
     */
    public fun onNotLeading(address: String) {
        directory.newest?.takeIf { it.address == address }?.let { excludedEpoch = it.epoch }
    }

    /** Claims the leadership if the known leader must be replaced. Returns null if this entry must follow a leader. */
    public suspend fun tryLead(): Leader? {
        val known = directory.newest
        val isGone = known == null || known.address == identity.address || known.epoch == excludedEpoch
        return when {
            !directory.hasRead || isWaitingForStore() -> null
            isGone -> {
                delay(random.nextLong(CLAIM_SPREAD_MILLIS))
                if (directory.newest == known) claim(known) else null
            }
            isSilent() && hasStoppedWriting() -> claim(known)
            else -> null
        }
    }

    /** Reads the store less often while it refuses this entry, which may be for many seconds. */
    private fun isWaitingForStore(): Boolean = readableAgainAt?.let { context.clock().now < it } ?: false

    private suspend fun hasStoppedWriting(): Boolean {
        val end = context.store.end().getOrNull() ?: return false
        return context.store.hasAppendsAfter(end, OBSERVATION_MILLIS).fold({ false }, { hasAppends -> !hasAppends })
    }

    private suspend fun claim(known: Leadership?): Leader? =
        context.store.read().fold(
            { failure ->
                if (readableAgainAt == null) logger.warn("the state store can't be read: {}", failure.detail)
                readableAgainAt = context.clock().now.plusMillis(UNREADABLE_PAUSE_MILLIS)
                null
            },
            { snapshot ->
                readableAgainAt = null
                if (mayClaim(snapshot.leadership, known)) append(snapshot) else null
            },
        )

    /** False if another entry has begun to lead after [known]. */
    private fun mayClaim(
        stored: Leadership?,
        known: Leadership?,
    ): Boolean {
        val isNewer = stored != null && stored.epoch > (known?.epoch ?: Epoch.NONE)
        if (isNewer) directory.update(stored)
        return !isNewer || stored.address == identity.address
    }

    private suspend fun append(snapshot: StateSnapshot): Leader? {
        val epoch = maxOf(snapshot.leadership?.epoch ?: Epoch.NONE, epochFloor).next()
        val leadership = Leadership(epoch, identity.name, identity.address)
        // Two entries may claim the same epoch. With equal numbers the store would take one for a retry of the other.
        val sequence = random.nextLong(FIRST_SEQUENCE_BOUND)
        val requestedAt = context.clock()
        val record = context.store.leadershipRecord(leadership)
        val result = context.store.append(AppendIdentity(epoch, sequence), listOf(record), snapshot.end)
        result.leftOrNull()?.let { failure ->
            logger.info("the claim of epoch {} failed: {}", epoch.value, failure.detail)
            if (failure is StoreFailure.Fenced) epochFloor = epoch
            return null
        }
        val confirmation = Confirmation(settings.leadershipMillis)
        confirmation.confirm(requestedAt)
        val now = context.clock().now
        val jobs = StoredJobs.decode(snapshot.records)
        logger.info("this entry is the leader in epoch {} with {} jobs", epoch.value, jobs.size)
        return Leader(
            leadership = leadership,
            scheduler = JobScheduler(settings, JobTable(jobs), now, snapshot.records),
            writer = StateWriter(context.store, epoch, sequence + 1, context.clock, confirmation),
            confirmation = confirmation,
            context = context,
        )
    }

    private companion object {
        private val logger = LogManager.getLogger(LeadershipCandidate::class.java)

        /** Longest random delay; without one, entries that lose their leader together would claim together. */
        private const val CLAIM_SPREAD_MILLIS = 60L

        /** Pause after a refused read of the state. */
        private const val UNREADABLE_PAUSE_MILLIS = 300L

        /** Nearly two pings without a reply. */
        private const val SILENCE_MILLIS = 700L

        /** A leader appends at least every 400 ms; a slow store adds a few hundred milliseconds. */
        private const val OBSERVATION_MILLIS = 1_000L

        /** The first sequence number of an epoch is drawn at random below this bound. */
        private const val FIRST_SEQUENCE_BOUND = 1_000_000_000L
    }
}
