/*
 * Limit on retries. Each request adds one token to a budget and each retry takes ten, so that retries increase the
 * load by at most a tenth in an overload.
 */
package org.greengagepass.core.request

import org.greengagepass.core.ResultCode

/** Token bucket that limits the retries of one entry. Not safe for use by several threads at once. */
public class RetryBudget {
    private var tokens: Int = RESERVE_RETRIES * REQUESTS_PER_RETRY

    /** Records the first attempt at a request. */
    public fun requestStarted() {
        tokens = minOf(tokens + 1, RESERVE_RETRIES * REQUESTS_PER_RETRY)
    }

    /**
     * Returns whether a request may be retried after [outcome], and charges the budget if so. A request that may have
     * run is retried only if it is [idempotent].
     */
    public fun tryRetry(
        outcome: RequestOutcome,
        idempotent: Boolean,
        retriesMade: Int,
        retryLimit: Int,
    ): Boolean =
        isPermitted(outcome, idempotent) &&
            retriesMade < minOf(retryLimit, RETRIES_MAXIMUM) &&
            (isExempt(outcome) || takeTokens())

    private fun isPermitted(
        outcome: RequestOutcome,
        idempotent: Boolean,
    ): Boolean =
        when (outcome) {
            is RequestOutcome.Ran -> false
            is RequestOutcome.NotRun -> outcome.code in RETRYABLE_CODES
            is RequestOutcome.Unknown -> idempotent
        }

    private fun takeTokens(): Boolean {
        val isSufficient = tokens >= REQUESTS_PER_RETRY
        if (isSufficient) {
            tokens -= REQUESTS_PER_RETRY
        }
        return isSufficient
    }

    /**
     * A draining upstream refuses without doing work and is avoided from then on, so such a retry can't add to an
     * overload.
     */
    private fun isExempt(outcome: RequestOutcome): Boolean = outcome.code == ResultCode.DRAINING

    public companion object {
        /** Number of requests that earn one retry. */
        public const val REQUESTS_PER_RETRY: Int = 10

        /**
         * Number of retries that can accumulate, so that the failure of an agent with 8 requests does not exhaust the
         * budget.
         */
        public const val RESERVE_RETRIES: Int = 10

        /** Maximum number of retries of one request. */
        public const val RETRIES_MAXIMUM: Int = 2

        /** Refusals that concern the upstream. Any other refusal would be the same at another upstream. */
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
