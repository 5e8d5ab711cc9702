/*
 * Decides when this entry tries to lead, and tries. A leader that is certainly gone is followed at once; one that is
 * only silent may be cut off from this entry alone, so the store must first show that it writes no more.
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

/** Who this entry is. */
public data class EntryIdentity(
    val name: String,
    val address: String,
)

/** Tries to lead as [identity]. */
public class LeadershipCandidate(
    private val identity: EntryIdentity,
    private val settings: SchedulerSettings,
    private val directory: LeaderDirectory,
    private val context: LeaderContext,
    private val random: Random = Random.Default,
) {
    private var lastContactAt: Timestamp = context.clock().now
    private var deniedEpoch: Epoch? = null
    private var epochFloor = Epoch.NONE

    /** The leader was heard of at this moment, and can store what it decides. */
    public fun onContact() {
        lastContactAt = context.clock().now
        deniedEpoch = null
    }

    /** The leader of [epoch] says that it can't store what it decides. */
    public fun onStoreTrouble(epoch: Epoch) {
        deniedEpoch = epoch
    }

    /** True if the leader has been silent for too long. */
    public fun isSilent(): Boolean = context.clock().now.millisSince(lastContactAt) >= SILENCE_MILLIS

    /**
     * The process at [address] certainly does not lead. That counts against the leadership known by now only: the same
     * process may begin to lead a moment later.
     */
    public fun onNotLeading(address: String) {
        directory.newest?.takeIf { it.address == address }?.let { deniedEpoch = it.epoch }
    }

    /** A new leadership of this entry, once it has one; null if it should follow another. */
    public suspend fun tryLead(): Leader? {
        val known = directory.newest
        val isGone = known == null || known.address == identity.address || known.epoch == deniedEpoch
        return when {
            !directory.hasRead -> null
            isGone -> {
                delay(random.nextLong(CLAIM_SPREAD_MILLIS))
                if (directory.newest == known) claim(known) else null
            }
            isSilent() && hasStoppedWriting() -> claim(known)
            else -> null
        }
    }

    private suspend fun hasStoppedWriting(): Boolean {
        val end = context.store.end().getOrNull() ?: return false
        return context.store.hasAppendsAfter(end, OBSERVATION_MILLIS).fold({ false }, { grows -> !grows })
    }

    private suspend fun claim(known: Leadership?): Leader? =
        context.store.read().fold(
            { failure ->
                logger.info("the state can't be read: {}", failure.detail)
                null
            },
            { snapshot -> if (isStillWanted(snapshot.leadership, known)) append(snapshot) else null },
        )

    /** False if another entry has begun to lead since [known]. */
    private fun isStillWanted(
        stored: Leadership?,
        known: Leadership?,
    ): Boolean {
        val isNews = stored != null && stored.epoch > (known?.epoch ?: Epoch.NONE)
        if (isNews) directory.update(stored)
        return !isNews || stored.address == identity.address
    }

    private suspend fun append(snapshot: StateSnapshot): Leader? {
        val epoch = maxOf(snapshot.leadership?.epoch ?: Epoch.NONE, epochFloor).next()
        val leadership = Leadership(epoch, identity.name, identity.address)
        // Two entries may claim the same epoch; with the same number one would be taken for a repeat of the other.
        val sequence = random.nextLong(SEQUENCES)
        val asked = context.clock()
        val record = context.store.leadershipRecord(leadership)
        val result = context.store.append(AppendIdentity(epoch, sequence), listOf(record), snapshot.end)
        result.leftOrNull()?.let { failure ->
            logger.info("epoch {} was not won: {}", epoch.value, failure.detail)
            if (failure is StoreFailure.Fenced) epochFloor = epoch
            return null
        }
        val proof = FreshnessProof(settings.leadershipMillis)
        proof.confirm(asked)
        val now = context.clock().now
        val jobs = StoredJobs.decode(snapshot.records)
        logger.info("leads epoch {} with {} jobs", epoch.value, jobs.size)
        return Leader(
            leadership = leadership,
            scheduler = JobScheduler(settings, JobTable(jobs), now),
            writer = StateWriter(context.store, epoch, sequence + 1, context.clock, proof),
            proof = proof,
            context = context,
        )
    }

    private companion object {
        private val logger = LogManager.getLogger(LeadershipCandidate::class.java)

        /** Keeps entries that lost a leader together from claiming at the same moment. */
        private const val CLAIM_SPREAD_MILLIS = 60L

        /** Nearly two pings without an answer. */
        private const val SILENCE_MILLIS = 700L

        /** A leader writes every 400 ms at least; a slow store adds some hundred. */
        private const val OBSERVATION_MILLIS = 1_000L

        /** Numbers from which an epoch's first one is drawn. */
        private const val SEQUENCES = 1_000_000_000L
    }
}
