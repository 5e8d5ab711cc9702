/*
 * Non-idempotent requests that this entry owns. A request is dispatched only after its claim has been read back, and
 * never twice under the same claim.
 */
package org.greengagepass.core.process

import org.greengagepass.core.ResultCode
import org.greengagepass.core.process.OwnerInput.ClaimRequest
import org.greengagepass.core.process.OwnerInput.RequestEnded
import org.greengagepass.core.process.TaskRecord.KeyRecord
import org.greengagepass.core.process.TaskRecord.RequestClaimed
import org.greengagepass.core.process.TaskRecord.RequestUnknown
import org.greengagepass.core.request.RequestOutcome

/** Claims keys, permits dispatches and records outcomes. */
internal class OwnedRequests(
    private val context: OwnerContext,
    private val ownership: OwnershipTracker,
) {
    private val state = context.state
    private val requestsByKey = LinkedHashMap<RequestKey, OwnedRequest>()

    /** True while a dispatch has not ended or its outcome is not recorded. */
    val isBusy: Boolean
        get() = requestsByKey.isNotEmpty()

    fun claim(input: ClaimRequest) {
        val caller = Caller(input.requestId, input.deadline)
        val owned = requestsByKey[input.key]
        val recorded = state.keys[input.key]
        when {
            owned != null -> owned.join(caller, input.bodyDigest)?.let { context.answer(caller, it) }
            recorded != null -> context.answer(caller, answerFrom(recorded, input.bodyDigest))
            !ownership.mayWrite -> context.answer(caller, CallerAnswer.NotOwner)
            ownership.isStopping ->
                context.answer(
                    caller,
                    ownership.refusal(ResultCode.DRAINING, "the entry is stopping"),
                )
            else -> claim(caller, RequestClaimed(context.epoch, input.key, input.bodyDigest, context.clock.epochMillis))
        }
    }

    fun ended(input: RequestEnded) {
        val owned = requestsByKey[input.key]?.takeIf { it.token == input.token } ?: return
        owned.end(input.outcome)
        context.answerAll(owned.callers, CallerAnswer.Ended(input.outcome))
        settle(owned)
    }

    /** Handles that a record of this entry was read back as [folded]. */
    fun readBack(folded: FoldedRecord) {
        val record = folded.record
        if (record is RequestClaimed) {
            requestsByKey[record.key]?.takeIf { it.claim == record }?.let { claimReadBack(it, folded) }
        } else if (record is KeyRecord) {
            record.settledKey()?.let(requestsByKey::remove)
        }
    }

    /** Queues an unknown outcome for keys that an earlier owner claimed: their requests may have run. */
    fun ownershipGained() {
        state.keys.claimed
            .forEach { context.appender.offer(RequestUnknown(context.epoch, it.key, ResultCode.OWNER_LOST)) }
    }

    /**
     * Drops requests whose claim was not sent or whose callers are answered. Dispatches in progress still answer their
     * callers.
     */
    fun ownershipLost() {
        val unsent = requestsByKey.values.filter { it.token == null && it.claim !in context.appender }
        unsent.forEach { context.answerAll(it.callers, CallerAnswer.NotOwner) }
        requestsByKey.values.removeIf { it in unsent || it.outcome != null }
    }

    /** Answers callers whose deadline has passed, and queues outcomes that did not fit in the queue before. */
    fun tick() {
        requestsByKey.values.removeIf { owned -> expire(owned) }
        requestsByKey.values.forEach(::settle)
    }

    private fun claim(
        caller: Caller,
        claim: RequestClaimed,
    ) {
        if (context.appender.offer(claim)) {
            requestsByKey[claim.key] = OwnedRequest(claim).apply { callers += caller }
        } else {
            context.answer(caller, ownership.refusal(ResultCode.LOG_UNAVAILABLE, "the queue of the log is full"))
        }
    }

    private fun claimReadBack(
        owned: OwnedRequest,
        folded: FoldedRecord,
    ) {
        val caller = owned.callers.firstOrNull()
        when {
            !folded.isValid || owned.claim.epoch != ownership.ownedEpoch -> {
                context.answerAll(owned.callers, CallerAnswer.NotOwner)
                requestsByKey.remove(owned.claim.key)
            }
            caller == null -> {
                owned.token = folded.position
                owned.end(RequestOutcome.NotRun(ResultCode.DEADLINE_EXPIRED, "no caller is waiting"))
                settle(owned)
            }
            else -> {
                owned.token = folded.position
                context.decide(OwnerDecision.DispatchPermitted(caller.requestId, owned.claim.key, folded.position))
            }
        }
    }

    private fun settle(owned: OwnedRequest) {
        owned.outcomeRecord?.takeIf { ownership.mayWrite }?.let(context.appender::offer)
    }

    /** Answers the callers whose deadline has passed; true if the request was withdrawn and can be dropped. */
    private fun expire(owned: OwnedRequest): Boolean {
        val expired = owned.callers.filter { it.deadline <= context.now }
        owned.callers -= expired.toSet()
        val isWithdrawn =
            expired.isNotEmpty() && owned.callers.isEmpty() &&
                context.appender.withdraw(owned.claim) == Withdrawal.WITHDRAWN
        val answer =
            when {
                isWithdrawn -> ownership.refusal(ResultCode.LOG_UNAVAILABLE, "not appended before the deadline")
                owned.token == null -> unknown(ResultCode.APPEND_NOT_CONFIRMED, "not read back before the deadline")
                else -> unknown(ResultCode.DEADLINE_PASSED, "running at the deadline")
            }
        context.answerAll(expired.toMutableList(), answer)
        return isWithdrawn
    }
}

/** "Not run" is certain for a key only while no other entry can have claimed it. */
private fun OwnershipTracker.refusal(
    code: ResultCode,
    detail: String,
): CallerAnswer = if (isExclusive) notRun(code, detail) else CallerAnswer.NotOwner
