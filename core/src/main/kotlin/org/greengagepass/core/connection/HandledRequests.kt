/*
 * The agent's memory of the requests that were dispatched to it. It makes sure that a dispatch runs at most once
 * and that a "not run" stays true: whatever was refused or declared never received is refused until its deadline,
 * after which the agent takes no dispatch of it anyway. All times are of the agent's clock.
 */
package org.greengagepass.core.connection

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.request.RequestOutcome

/**
 * Requests handled by one agent process. Holds at most [requestsMaximum] requests that may run or have run,
 * [recordsMaximum] records in all, and [answerCharactersMaximum] characters of answers. Not safe for use by several
 * threads at once.
 */
public class HandledRequests(
    private val requestsMaximum: Int = REQUESTS_MAXIMUM,
    private val recordsMaximum: Int = RECORDS_MAXIMUM,
    private val answerCharactersMaximum: Long = ANSWER_CHARACTERS_MAXIMUM,
) {
    private val records = HandledRecords(answerCharactersMaximum)
    private var draining: Boolean = false

    /** Number of records held. */
    public val size: Int
        get() = records.size

    /** Number of requests that wait or run. */
    public val unfinished: Int
        get() = records.unfinished

    /** From now on every new dispatch is refused as draining. Requests that were taken before go on. */
    public fun startDraining() {
        draining = true
    }

    /**
     * A dispatch has arrived. [refusal] is the caller's own reason not to take it, such as a full queue; a request
     * refused for it stays refused.
     */
    public fun receive(
        requestId: RequestId,
        deadline: Timestamp,
        now: Timestamp,
        refusal: RequestOutcome.NotRun? = null,
    ): DispatchDecision {
        val known = records[requestId]
        return when {
            known != null -> repeated(known)
            records.size >= recordsMaximum -> DispatchDecision.Ignore("the agent remembers $recordsMaximum requests")
            !isRemembered(deadline, now) -> DispatchDecision.Ignore("its deadline is too far from now to remember it")
            now >= deadline -> refuse(requestId, deadline, DEADLINE_EXPIRED)
            draining -> refuse(requestId, deadline, notRun(ResultCode.DRAINING, "the agent is leaving"))
            refusal != null -> refuse(requestId, deadline, refusal)
            records.requests >= requestsMaximum ->
                refuse(requestId, deadline, notRun(ResultCode.OVERLOADED, "the agent holds $requestsMaximum requests"))
            else -> {
                records.add(HandledRecord(requestId, deadline, HandledPhase.RECEIVED))
                DispatchDecision.Accept
            }
        }
    }

    /**
     * The agent is about to send a received request to the upstream. Only [StartDecision.Start] permits it; it is
     * given once.
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
     * A request has ended with [outcome]. Gives the outcome to send, or null if the request is unknown or already
     * has one.
     */
    public fun end(
        requestId: RequestId,
        outcome: RequestOutcome,
    ): RequestOutcome? = records[requestId]?.takeUnless { it.isEnded }?.let { records.end(it, outcome) }

    /**
     * Answers the [inquiries] of an entry. A request that the agent can't prove anything about gets no result, and
     * stays unknown to the entry.
     */
    public fun inquire(
        inquiries: List<Inquiry>,
        now: Timestamp,
    ): List<InquiryResult> = inquiries.mapNotNull { inquire(it, now) }

    /**
     * Forgets what no longer matters at [now], and gives the requests that waited past their deadline. To be called
     * at each heartbeat, since nothing else frees memory.
     */
    public fun expire(now: Timestamp): List<ExpiredRequest> {
        val expired = records.waitingPast(now).map { ExpiredRequest(it.requestId, records.end(it, DEADLINE_EXPIRED)) }
        records.forgetBefore(now)
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
        if (!isRemembered(inquiry.deadlineAgentClock, now) || records.size >= recordsMaximum) {
            return null
        }
        records.add(
            HandledRecord(inquiry.requestId, inquiry.deadlineAgentClock, HandledPhase.TOMBSTONED, NEVER_RECEIVED),
        )
        return InquiryResult.NeverReceived(inquiry.requestId)
    }

    public companion object {
        /** Most requests that wait, run or keep an answer; far more than 8 slots and a short queue finish in time. */
        public const val REQUESTS_MAXIMUM: Int = 8_192

        /** Most records, tombstones included. */
        public const val RECORDS_MAXIMUM: Int = 16_384

        /** Most characters of kept answers. An agent has 64 MB in all. */
        public const val ANSWER_CHARACTERS_MAXIMUM: Long = 2_000_000

        /** Longest time from a dispatch to its deadline. It bounds how long a record is kept. */
        public const val DISPATCH_DEADLINE_MAXIMUM_MILLIS: Long = 600_000
    }
}

private fun repeated(known: HandledRecord): DispatchDecision =
    known.outcome?.let { DispatchDecision.ResendAnswer(it) }
        ?: DispatchDecision.Ignore("the request is already in progress")

/** True if a record of a request with this [deadline] exists at [now] for every dispatch that was not ignored. */
private fun isRemembered(
    deadline: Timestamp,
    now: Timestamp,
): Boolean = deadline <= now.plusMillis(HandledRequests.DISPATCH_DEADLINE_MAXIMUM_MILLIS) && !isForgotten(deadline, now)
