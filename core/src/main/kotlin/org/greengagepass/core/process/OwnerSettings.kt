/*
 * Times and bounds of the owner of a partition, as sections 7, 8 and 11 of the design state them.
 */
package org.greengagepass.core.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.Timestamp

/** An entry as the stream names it. [entry] is unique for each start of the process and is also its writer name. */
@Serializable
public data class OwnerIdentity(
    val entry: EntryId,
    val address: String,
)

/** One moment: a reading of the entry's monotonic clock, and the wall clock, which only retention depends on. */
@Serializable
public data class ClockReading(
    val monotonic: Timestamp,
    val epochMillis: Long,
)

/** Settings of [PartitionOwner]. All durations are in milliseconds. */
@Serializable
public data class OwnerSettings(
    /** How long a running task may run after the worker clock of a heartbeat. */
    val leaseMillis: Long = 10_000,
    /** Added to the end of a grant, so that it lies after the worker's deadline if clocks drift. */
    val marginMillis: Long = 1_000,
    /** Oldest view of the configuration, and of the own stream, that permits a start. */
    val startPermissionMillis: Long = 3_000,
    /** How long leases are renewed without a read of the log that shows the ownership. */
    val outageAllowanceMillis: Long = 600_000,
    /** How often an owner shows in the stream that it is alive. */
    val ownerHeartbeatMillis: Long = 2_000,
    /** Silence of an owner after which another entry claims the partition. */
    val ownerSilenceMillis: Long = 6_000,
    /**
     * Added before a claim. Entries get different delays per partition, so that partitions spread over entries and
     * one entry does not claim all of them.
     */
    val claimDelayMillis: Long = 0,
    /** Longest time between two reads that still counts as reading the log without a gap. */
    val readGapMillis: Long = 3_000,
    /** Silence of a host after which it receives no new tasks; as for connections. */
    val hostSilenceMillis: Long = 3_000,
    /** Least time between two appends. */
    val flushWindowMillis: Long = 20,
    /** Time after which a batch that has not been read back is sent again. */
    val resendMillis: Long = 1_000,
    /** Most records that wait to be appended. */
    val queueMaximum: Int = 10_000,
    /** Most records of a batch, so that a batch stays well below the frame limit of 1 MiB. */
    val batchMaximum: Int = 1_000,
    /** Most tasks placed in one flush window. */
    val placementsMaximum: Int = 1_000,
    /** Longest wait for requests in progress at a shutdown. */
    val shutdownMillis: Long = 30_000,
    val retention: RetentionSettings = RetentionSettings(),
)

/** How long ended tasks and keys are kept, and when snapshots are due. */
@Serializable
public data class RetentionSettings(
    /** Most ended tasks that are kept; the ones that ended first are forgotten first. */
    val endedTasksMaximum: Int = 20_000,
    /** How long an ended task is kept by wall clock. */
    val endedTaskMillis: Long = 86_400_000,
    /** How long the outcome of a non-idempotent request is kept by wall clock. */
    val keyMillis: Long = 86_400_000,
    /** Least time between two looks for tasks and keys to forget. */
    val forgetEveryMillis: Long = 1_000,
    /** Most tasks or keys that one record forgets. */
    val forgottenPerRecordMaximum: Int = 500,
    /** How long the log keeps a record. */
    val logMillis: Long = 3_600_000,
    /** Time after which a snapshot is due if something changed. */
    val snapshotMillis: Long = 60_000,
    /** Records after which a snapshot is due. */
    val snapshotRecords: Int = 10_000,
)
