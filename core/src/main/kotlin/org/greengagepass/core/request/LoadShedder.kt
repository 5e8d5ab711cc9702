/*
 * Refusal of requests that can't finish by their deadline. An immediate refusal leaves the caller time to react, and
 * keeps the upstreams free for requests that can still finish.
 */
package org.greengagepass.core.request

import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.version.Priority

/** Decides whether one entry accepts a request. An entry has at most [inFlightMaximum] requests in flight. */
public class LoadShedder(
    private val inFlightMaximum: Int = IN_FLIGHT_MAXIMUM,
) {
    /**
     * Returns null if a request can finish by its [deadline], given the [expectedMillis] until its answer and the
     * [inFlight] requests of this entry; otherwise the refusal.
     */
    public fun refusal(
        priority: Priority,
        expectedMillis: Double,
        deadline: Timestamp,
        now: Timestamp,
        inFlight: Int,
    ): RequestOutcome.NotRun? {
        val share = sharePercent(priority)
        val remainingMillis = deadline.millisSince(now)
        return when {
            remainingMillis <= 0 -> RequestOutcome.NotRun(ResultCode.DEADLINE_EXPIRED, "the deadline has passed")
            inFlight >= inFlightMaximum.toLong() * share / WHOLE_PERCENT ->
                RequestOutcome.NotRun(ResultCode.OVERLOADED, "$inFlight requests are in flight")
            expectedMillis > remainingMillis * share / WHOLE_PERCENT ->
                RequestOutcome.NotRun(
                    ResultCode.OVERLOADED,
                    "an answer is expected in ${expectedMillis.toLong()} ms, $remainingMillis ms remain",
                )
            else -> null
        }
    }

    /** Percentage of the limits that a priority may use, so that lower priorities are refused first. */
    private fun sharePercent(priority: Priority): Long =
        when (priority) {
            Priority.URGENT -> WHOLE_PERCENT
            Priority.NORMAL -> NORMAL_PERCENT
            Priority.BACKGROUND -> BACKGROUND_PERCENT
        }

    public companion object {
        /** Number of requests in flight that fit into the memory of an entry. */
        public const val IN_FLIGHT_MAXIMUM: Int = 10_000

        private const val WHOLE_PERCENT = 100L
        private const val NORMAL_PERCENT = 80L
        private const val BACKGROUND_PERCENT = 50L
    }
}
