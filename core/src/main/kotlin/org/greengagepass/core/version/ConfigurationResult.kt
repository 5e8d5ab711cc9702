/*
 * Results of folding a batch of the configuration stream, from which writers get the verdicts on their records.
 */
package org.greengagepass.core.version

import kotlinx.serialization.Serializable
import org.greengagepass.core.FencingToken

/** Result of folding one log record of the configuration stream. */
public sealed class FoldResult {
    /** The batch was folded; [records] holds a result for each of its records, in order. */
    public data class Folded(
        val writer: String,
        val sequence: Long,
        val records: List<RecordResult>,
    ) : FoldResult()

    /** A batch of this writer with this or a higher sequence was folded before, so this one has no effect. */
    public data class Repeated(
        val writer: String,
        val sequence: Long,
    ) : FoldResult()

    /** The offset is before that of the state, so the record has no effect. */
    public data class AlreadyFolded(
        val nextOffset: Long,
    ) : FoldResult()

    /** Records between [nextOffset] and the offset are missing. Nothing was folded; a snapshot is needed. */
    public data class Gap(
        val nextOffset: Long,
    ) : FoldResult()
}

/** Verdict on one record. */
public data class RecordResult(
    val position: FencingToken,
    val record: ConfigurationRecord,
    val verdict: Verdict,
)

/** Whether a record took effect. */
@Serializable
public sealed class Verdict {
    /** The record is in force as [version]. */
    @Serializable
    public data class Accepted(
        val version: FencingToken,
    ) : Verdict()

    /** Another record came first: the author expected [expectedVersion], but [actualVersion] is in force. */
    @Serializable
    public data class Conflict(
        val expectedVersion: FencingToken,
        val actualVersion: FencingToken,
    ) : Verdict()

    /** The author has already used the idempotency key, with the verdict [first]. This record has no effect. */
    @Serializable
    public data class Repeated(
        val first: Verdict,
    ) : Verdict()
}
