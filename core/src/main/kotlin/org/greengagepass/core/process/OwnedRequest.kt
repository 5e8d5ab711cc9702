/*
 * One non-idempotent request of which this entry is the owner.
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

/** A request from its claim until its outcome is read back. */
internal class OwnedRequest(
    val claim: RequestClaimed,
) {
    val callers = mutableListOf<Caller>()

    /** Position of the claim once it has been read back as valid. */
    var token: FencingToken? = null

    var outcome: RequestOutcome? = null
        private set

    /** The record of the outcome, to be appended until it is read back. */
    var settlement: TaskRecord? = null
        private set

    /** Notes the [outcome] of the dispatch. */
    fun end(outcome: RequestOutcome) {
        this.outcome = outcome
        settlement =
            when (outcome) {
                is RequestOutcome.Ran -> RequestCompleted(claim.epoch, claim.key, outcome.answer)
                is RequestOutcome.NotRun -> RequestNotRun(claim.epoch, claim.key)
                is RequestOutcome.Unknown -> RequestUnknown(claim.epoch, claim.key, outcome.code)
            }
    }

    /** Lets [caller] wait for the outcome, or gives its answer if there is one already. */
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

/** The answer to a request whose key has [entry]. */
internal fun answerFrom(
    entry: KeyEntry,
    bodyDigest: String,
): CallerAnswer {
    val keyState = entry.state
    return when {
        entry.bodyDigest != bodyDigest -> keyReused()
        keyState is KeyState.Completed -> CallerAnswer.Ended(RequestOutcome.Ran(keyState.answer))
        keyState is KeyState.Unknown -> unknown(keyState.code, "it can't be told whether the request ran")
        else -> unknown(ResultCode.OWNER_LOST, "claimed by another owner")
    }
}

/** The key whose outcome this record states; null for other records. */
internal fun KeyRecord.settledKey(): RequestKey? =
    when (this) {
        is RequestCompleted -> key
        is RequestUnknown -> key
        is RequestNotRun -> key
        is RequestClaimed, is KeysForgotten -> null
    }

private fun keyReused(): CallerAnswer = notRun(ResultCode.KEY_REUSED, "the key was used with another body")
