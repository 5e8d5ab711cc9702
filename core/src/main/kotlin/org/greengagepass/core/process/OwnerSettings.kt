/*
 * Time limits and bounds of the owner of a partition; sections 7, 8 and 11 of the design define them.
 */
package org.greengagepass.core.process

import kotlinx.serialization.Serializable
import org.greengagepass.core.EntryId
import org.greengagepass.core.Timestamp

/** An entry as records identify it. [entry] is unique for each start of the process and is also its writer name. */
@Serializable
public data class OwnerIdentity(
    val entry: EntryId,
    val address: String,
)

/** A reading of the entry's monotonic clock, and of the wall clock, on which only retention depends. */
@Serializable
public data class ClockReading(
    val monotonic: Timestamp,
    val epochMillis: Long,
)

/** Settings of [PartitionOwner]. All durations are in milliseconds. */
@Serializable
public data class OwnerSettings(
    /** How long an attempt may run after the worker clock of a heartbeat without a renewal. */
    val leaseMillis: Long = 10_000,
    /** Added to the lease end that the owner keeps, so that it is after the worker's deadline even if clocks drift. */
    val marginMillis: Long = 1_000,
    /** Maximum age of the views of the configuration and of the partition's stream that permits a start. */
    val startPermissionMillis: Long = 3_000,
    /** How long leases are renewed without a read of the log that confirms the ownership. */
    val outageAllowanceMillis: Long = 600_000,
    /** Interval at which an owner writes a heartbeat to the stream. */
    val ownerHeartbeatMillis: Long = 2_000,
    /** Time without records of the owner after which another entry claims the partition. */
    val ownerSilenceMillis: Long = 6_000,
    /**
     * Additional delay before a claim. Entries get different delays per partition, so that one entry does not claim all
     * partitions.
     */
    val claimDelayMillis: Long = 0,
    /** Maximum time between two reads that counts as reading the log without a gap. */
    val readGapMillis: Long = 3_000,
    /** Time without heartbeats after which a host receives no new tasks; the same as for connections. */
    val hostSilenceMillis: Long = 3_000,
    /** Minimum time between two appends. */
    val flushWindowMillis: Long = 20,
    /** Time after which a batch that has not been read back is sent again. */
    val resendMillis: Long = 1_000,
    /** Maximum number of records that wait to be appended. */
    val queueMaximum: Int = 10_000,
    /** Maximum number of records in a batch, so that a batch stays well below the frame limit of 1 MiB. */
    val batchMaximum: Int = 1_000,
    /** Maximum number of tasks placed in one flush window. */
    val placementsMaximum: Int = 1_000,
    /** Maximum time that a shutdown waits for requests in progress. */
    val shutdownMillis: Long = 30_000,
    val retention: RetentionSettings = RetentionSettings(),
)

/** Retention of ended tasks and keys, and the times at which snapshots are due. */
@Serializable
public data class RetentionSettings(
    /** Maximum number of ended tasks that are kept; the tasks that ended first are dropped first. */
    val endedTasksMaximum: Int = 20_000,
    /** How long an ended task is kept by wall clock. */
    val endedTaskMillis: Long = 86_400_000,
    /** How long the outcome of a non-idempotent request is kept by wall clock. */
    val keyMillis: Long = 86_400_000,
    /** Minimum time between two searches for tasks and keys to drop. */
    val forgetEveryMillis: Long = 1_000,
    /** Maximum number of tasks or keys that one record drops. */
    val forgottenPerRecordMaximum: Int = 500,
    /** How long the log keeps a record. */
    val logMillis: Long = 3_600_000,
    /** Time after which a snapshot is due if something changed. */
    val snapshotMillis: Long = 60_000,
    /** Records after which a snapshot is due. */
    val snapshotRecords: Int = 10_000,
)
