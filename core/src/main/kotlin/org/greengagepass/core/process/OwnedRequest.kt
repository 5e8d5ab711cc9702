/*
 * One non-idempotent request that this entry owns.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.ResultCode
import org.greengagepass.core.process.TaskRecord.KeyRecord
import org.greengagepass.core.process.TaskRecord.KeysForgotten
import org.greengagepass.core.process.TaskRecord.RequestClaimed
import org.greengagepass.core.process.TaskRecord.RequestCompleted
import org.greengagepass.core.process.TaskRecord.RequestNotRun
import org.greengagepass.core.process.TaskRecord.RequestUnknown
import org.greengagepass.core.request.RequestOutcome

/** A request from its claim until its outcome has been read back. */
internal class OwnedRequest(
    val claim: RequestClaimed,
) {
    val callers = mutableListOf<Caller>()

    /** Position of the claim once it has been read back as valid. */
    var token: FencingToken? = null

    var outcome: RequestOutcome? = null
        private set

    /** The record of the outcome; it is offered to the log until it has been read back. */
    var outcomeRecord: TaskRecord? = null
        private set

    /** Records the [outcome] of the dispatch. */
    fun end(outcome: RequestOutcome) {
        this.outcome = outcome
        outcomeRecord =
            when (outcome) {
                is RequestOutcome.Ran -> RequestCompleted(claim.epoch, claim.key, outcome.answer)
                is RequestOutcome.NotRun -> RequestNotRun(claim.epoch, claim.key)
                is RequestOutcome.Unknown -> RequestUnknown(claim.epoch, claim.key, outcome.code)
            }
    }

    /** Adds [caller] to those that wait for the outcome, or returns its answer if there is one already. */
    fun join(
        caller: Caller,
        bodyDigest: String,
    ): CallerAnswer? {
        val known = outcome
        return when {
            claim.bodyDigest != bodyDigest -> keyReused()
            known != null -> CallerAnswer.Ended(known)
            else -> null.also { callers += caller }
        }
    }
}

/** The answer to a request whose key is [recorded]. */
internal fun answerFrom(
    recorded: RecordedKey,
    bodyDigest: String,
): CallerAnswer {
    val keyState = recorded.state
    return when {
        recorded.bodyDigest != bodyDigest -> keyReused()
        keyState is KeyState.Completed -> CallerAnswer.Ended(RequestOutcome.Ran(keyState.answer))
        keyState is KeyState.Unknown -> unknown(keyState.code, "it is unknown whether the request ran")
        else -> unknown(ResultCode.OWNER_LOST, "claimed by another owner")
    }
}

/** The key whose outcome this record contains; null for other records. */
internal fun KeyRecord.settledKey(): RequestKey? =
    when (this) {
        is RequestCompleted -> key
        is RequestUnknown -> key
        is RequestNotRun -> key
        is RequestClaimed, is KeysForgotten -> null
    }

private fun keyReused(): CallerAnswer = notRun(ResultCode.KEY_REUSED, "the key was used with another body")
