/*
 * The agent's state of the requests that were dispatched to it. It ensures that a dispatch runs at most once and that
 * a "not run" stays true: a request that was refused or reported as never received is refused until its deadline,
 * after which the agent accepts no dispatch of it anyway. All times are readings of the agent's clock.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/**
 * Requests handled by one agent process. Keeps at most [requestsMaximum] requests that may run or have run,
 * [recordsMaximum] records in total, and [answerCharactersMaximum] characters of answers. Not safe for use by several
 * threads at once.
 */
public class HandledRequests(
    private val requestsMaximum: Int = REQUESTS_MAXIMUM,
    private val recordsMaximum: Int = RECORDS_MAXIMUM,
    private val answerCharactersMaximum: Long = ANSWER_CHARACTERS_MAXIMUM,
) {
    private val records = HandledRecords(answerCharactersMaximum)
    private var draining: Boolean = false

    /** Number of records. */
    public val size: Int
        get() = records.size

    /** Number of requests that are queued or running. */
    public val unfinished: Int
        get() = records.unfinished

    /** Refuses every new dispatch as draining from now on. Requests that were accepted before are completed. */
    public fun startDraining() {
        draining = true
    }

    /**
     * Decides on a dispatch that has arrived. [refusal] is a reason of the caller to refuse it, such as a full queue;
     * a request that was refused for it stays refused.
     */
    public fun receive(
        requestId: RequestId,
        deadline: Timestamp,
        now: Timestamp,
        refusal: RequestOutcome.NotRun? = null,
    ): DispatchDecision {
        val known = records[requestId]
        return when {
            known != null -> decideRepeated(known)
            records.size >= recordsMaximum -> DispatchDecision.Ignore("the agent already keeps $recordsMaximum records")
            !isWithinRetention(
                deadline,
                now,
            ) -> DispatchDecision.Ignore("its deadline is too far from now to keep a record of it")
            now >= deadline -> refuse(requestId, deadline, DEADLINE_EXPIRED)
            draining -> refuse(requestId, deadline, notRun(ResultCode.DRAINING, "the agent is draining"))
            refusal != null -> refuse(requestId, deadline, refusal)
            records.requests >= requestsMaximum ->
                refuse(
                    requestId,
                    deadline,
                    notRun(ResultCode.OVERLOADED, "the agent already keeps $requestsMaximum requests"),
                )
            else -> {
                records.add(HandledRecord(requestId, deadline, HandledPhase.RECEIVED))
                DispatchDecision.Accept
            }
        }
    }

    /**
     * Decides whether a received request may be sent to the upstream. Only [StartDecision.Start] permits it, and it
     * is returned only once for a request.
     */
    public fun start(
        requestId: RequestId,
        now: Timestamp,
    ): StartDecision {
        val record = records[requestId]
        return when {
            record == null || record.phase != HandledPhase.RECEIVED -> StartDecision.Skip
            now >= record.deadline -> StartDecision.Refuse(records.end(record, DEADLINE_EXPIRED))
            else -> {
                record.phase = HandledPhase.RUNNING
                StartDecision.Start
            }
        }
    }

    /**
     * Records that a request has ended with [outcome]. Returns the outcome to send, or null if the request is unknown
     * or already has one.
     */
    public fun end(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): RequestOutcome? = records[requestId]?.takeUnless { it.isEnded }?.let { records.end(it, outcome) }

    /**
     * Answers the [inquiries] of an entry. A request about which the agent can't prove anything gets no result, so
     * that its outcome stays unknown to the entry.
     */
    public fun inquire(
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> = inquiries.mapNotNull { inquire(it, now) }

    /**
     * Removes the records whose retention is over at [now], and returns the requests whose deadline passed in the
     * queue. Must be called at each heartbeat, since nothing else frees memory.
     */
    public fun expire(now: Timestamp): List<ExpiredRequest> {
        val expired = records.takeOverdue(now).map { ExpiredRequest(it.requestId, records.end(it, DEADLINE_EXPIRED)) }
        records.removeExpired(now)
        return expired
    }

    private fun refuse(
        requestId: RequestId,
        deadline: Timestamp,
        outcome: RequestOutcome.NotRun,
    ): DispatchDecision {
        records.add(HandledRecord(requestId, deadline, HandledPhase.TOMBSTONED, outcome))
        return DispatchDecision.Refuse(outcome)
    }

    private fun inquire(
        inquiry: Inquiry,
        now: Timestamp,
    ): InquiryResult? {
        val record = records[inquiry.requestId] ?: return inquireUnknown(inquiry, now)
        val outcome = record.outcome
        return when {
            outcome == null -> InquiryResult.Running(record.requestId)
            else -> InquiryResult.Answered(record.requestId, outcome)
        }
    }

    private fun inquireUnknown(
        inquiry: Inquiry,
        now: Timestamp,
    ): InquiryResult? {
        if (!isWithinRetention(inquiry.deadlineAgentClock, now) || records.size >= recordsMaximum) {
            return null
        }
        records.add(
            HandledRecord(inquiry.requestId, inquiry.deadlineAgentClock, HandledPhase.TOMBSTONED, NEVER_RECEIVED),
        )
        return InquiryResult.NeverReceived(inquiry.requestId)
    }

    public companion object {
        /**
         * Maximum number of requests that are queued, running or keep an answer. It is far more than 8 slots and a
         * short queue can finish in time.
         */
        public const val REQUESTS_MAXIMUM: Int = 8_192

        /** Maximum number of records, including tombstones. */
        public const val RECORDS_MAXIMUM: Int = 16_384

        /** Maximum total length of the answers kept, in characters. An agent has 64 MB of memory. */
        public const val ANSWER_CHARACTERS_MAXIMUM: Long = 2_000_000

        /** Longest time from a dispatch to its deadline. It limits how long a record is kept. */
        public const val DISPATCH_DEADLINE_MAXIMUM_MILLIS: Long = 600_000
    }
}

private fun decideRepeated(known: HandledRecord): DispatchDecision =
    known.outcome?.let { DispatchDecision.ResendAnswer(it) }
        ?: DispatchDecision.Ignore("the request is already in progress")

/** True if at [now] every dispatch with this [deadline] that was not ignored still has a record. */
private fun isWithinRetention(
    deadline: Timestamp,
    now: Timestamp,
): Boolean =
    deadline <= now.plusMillis(HandledRequests.DISPATCH_DEADLINE_MAXIMUM_MILLIS) && !isRetentionOver(deadline, now)
