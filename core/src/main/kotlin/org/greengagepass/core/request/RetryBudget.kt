/*
 * Bound on retries. Further tries are paid from a budget that first tries fill, so that in an overload the load
 * grows by a tenth at most.
 */
package org.greengagepass.core.request

import org.greengagepass.core.ResultCode

/** Retries that one entry may make. Not safe for use by several threads at once. */
public class RetryBudget {
    private var balance: Int = RESERVE_RETRIES * REQUESTS_PER_RETRY

    /** A request has made its first try. */
    public fun requestStarted() {
        balance = minOf(balance + 1, RESERVE_RETRIES * REQUESTS_PER_RETRY)
    }

    /**
     * Decides whether a request may be tried again after [outcome], and pays for it. A request that may have run is
     * tried again only if it is [idempotent].
     */
    public fun tryRetry(
        outcome: RequestOutcome,
        idempotent: Boolean,
        retriesMade: Int,
        retryLimit: Int,
    ): Boolean =
        isPermitted(outcome, idempotent) &&
            retriesMade < minOf(retryLimit, RETRIES_MAXIMUM) &&
            (isFree(outcome) || pay())

    private fun isPermitted(
        outcome: RequestOutcome,
        idempotent: Boolean,
    ): Boolean =
        when (outcome) {
            is RequestOutcome.Ran -> false
            is RequestOutcome.NotRun -> outcome.code in RETRYABLE_CODES
            is RequestOutcome.Unknown -> idempotent
        }

    private fun pay(): Boolean {
        val isPaid = balance >= REQUESTS_PER_RETRY
        if (isPaid) {
            balance -= REQUESTS_PER_RETRY
        }
        return isPaid
    }

    /** An upstream that leaves refuses without work and is avoided from then on, which can't add to an overload. */
    private fun isFree(outcome: RequestOutcome): Boolean = outcome.code == ResultCode.DRAINING

    public companion object {
        /** Requests that pay for one retry. */
        public const val REQUESTS_PER_RETRY: Int = 10

        /** Retries that may be saved up, so that a failed agent with 8 requests does not exhaust the budget. */
        public const val RESERVE_RETRIES: Int = 10

        /** Most further tries of one request. */
        public const val RETRIES_MAXIMUM: Int = 2

        /** Refusals that say something about the upstream; the others would be the same elsewhere. */
        private val RETRYABLE_CODES =
            setOf(
                ResultCode.OVERLOADED,
                ResultCode.DRAINING,
                ResultCode.NO_UPSTREAM,
                ResultCode.FAILURE_DOMAIN_OUT,
                ResultCode.HOST_FULL,
            )
    }
}
