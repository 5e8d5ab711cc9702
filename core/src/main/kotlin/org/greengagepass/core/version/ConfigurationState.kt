/*
 * The fold of the configuration stream. The order of the records decides between concurrent changes of operators: a
 * record whose condition is false at its position has no effect in any process. All processes that have folded the
 * stream up to the same offset have the same state.
 */
package org.greengagepass.core.version

import org.greengagepass.core.FencingToken

/**
 * The configuration as one process has folded it. Starts at offset 0, or at that of a snapshot by [restore]. The
 * version never decreases. Not safe for use by several threads at once; [view] may be shared.
 */
public class ConfigurationState {
    private var sequences = WriterSequences()
    private var keys = OperatorKeyTable()

    /** The configuration in force. */
    public var view: ConfigurationView = ConfigurationView()
        private set

    /** Offset of the log record to fold next. */
    public var nextOffset: Long = 0
        private set

    /** Offset of the first log record that expired before it was folded, or null if none is missing. */
    public var firstMissingOffset: Long? = null
        private set

    /**
     * The position before which all records are folded, comparable with the heads that other processes report. It
     * stops at the first missing record, so that a view without that record never counts as fresh.
     */
    public val head: FencingToken
        get() = FencingToken.of(firstMissingOffset ?: nextOffset, index = 0)

    /** Folds [batch], read at log offset [offset]. Records are folded strictly in order and only once. */
    public fun fold(
        offset: Long,
        batch: ConfigurationBatch,
    ): FoldResult =
        when {
            offset < nextOffset -> FoldResult.AlreadyFolded(nextOffset)
            offset > nextOffset -> FoldResult.Gap(nextOffset)
            !sequences.accept(batch.writer, batch.sequence) -> {
                nextOffset++
                FoldResult.Repeated(batch.writer, batch.sequence)
            }
            else -> {
                nextOffset++
                FoldResult.Folded(batch.writer, batch.sequence, foldRecords(offset, batch.records))
            }
        }

    /** Skips the log record at [offset], which contains no valid batch. It has no effect on the configuration. */
    public fun skipUnreadable(offset: Long): Boolean {
        val isNext = offset == nextOffset
        if (isNext) {
            nextOffset++
        }
        return isNext
    }

    /**
     * Continues at [oldestOffset] after records have expired unread and no snapshot covers them. Later records are
     * folded into the current configuration, but it is incomplete until a complete snapshot is restored. Returns
     * false without an effect if no record is missing.
     */
    public fun continueAfterExpiry(oldestOffset: Long): Boolean {
        val isMissing = oldestOffset > nextOffset
        if (isMissing) {
            firstMissingOffset = firstMissingOffset ?: nextOffset
            nextOffset = oldestOffset
        }
        return isMissing
    }

    /** Returns the complete state, to be written to the snapshot stream. */
    public fun snapshot(): ConfigurationSnapshot =
        ConfigurationSnapshot(
            nextOffset = nextOffset,
            view = view,
            sequences = sequences.toList(),
            keys = keys.toList(),
            firstMissingOffset = firstMissingOffset,
        )

    /**
     * Replaces the state by [snapshot]. Returns false without an effect if the snapshot is not better: it must be
     * newer, or equally new and complete while the state is not. An incomplete snapshot never replaces a complete
     * state, and the version never decreases.
     */
    public fun restore(snapshot: ConfigurationSnapshot): Boolean {
        if (!isBetter(snapshot) || snapshot.view.version < view.version) {
            return false
        }
        firstMissingOffset = snapshot.firstMissingOffset
        nextOffset = snapshot.nextOffset
        view = snapshot.view
        sequences = WriterSequences(snapshot.sequences)
        keys = OperatorKeyTable(snapshot.keys)
        return true
    }

    private fun isBetter(snapshot: ConfigurationSnapshot): Boolean =
        when {
            snapshot.firstMissingOffset == null && firstMissingOffset != null -> snapshot.nextOffset >= nextOffset
            snapshot.firstMissingOffset != null && firstMissingOffset == null -> nextOffset == 0L
            else -> snapshot.nextOffset > nextOffset
        }

    private fun foldRecords(
        offset: Long,
        records: List<ConfigurationRecord>,
    ): List<RecordResult> =
        records.take(FencingToken.RECORDS_PER_BATCH_MAXIMUM).mapIndexed { index, record ->
            val position = FencingToken.of(offset, index)
            RecordResult(position, record, foldRecord(position, record))
        }

    private fun foldRecord(
        position: FencingToken,
        record: ConfigurationRecord,
    ): Verdict {
        val key = OperatorKey(record.operator, record.idempotencyKey)
        keys.find(key)?.let { return Verdict.Repeated(it) }
        val verdict = view.evaluate(record, position)
        if (verdict is Verdict.Accepted) {
            view = view.apply(record, position)
        }
        keys.add(key, verdict)
        return verdict
    }
}
