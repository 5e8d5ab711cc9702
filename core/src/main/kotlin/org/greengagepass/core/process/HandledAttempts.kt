/*
 * Memory of the starts that a host has decided on, so that duplicated and late ones get the same decision again.
 * The memory is bounded: what is dropped raises a floor below which unknown tokens are refused.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.TaskId
import java.util.TreeMap

/** A decision on one attempt. [refusal] is null if it was admitted or is known from a report. */
internal data class HandledAttempt(
    val taskId: TaskId,
    val token: FencingToken,
    val refusal: AdmissionRefusal? = null,
)

/** The newest decisions, at most [limit] and those of attempts that still hold capacity. */
internal class HandledAttempts(
    private val limit: Int,
) {
    private val byToken = TreeMap<FencingToken, HandledAttempt>()
    private val highestTokens = HashMap<TaskId, FencingToken>()
    private var floor = FencingToken.NONE

    fun decisionOn(token: FencingToken): HandledAttempt? = byToken[token]

    /** True if a higher token of [taskId] is known, or [token] is so old that it can't be told. */
    fun isOutdated(
        taskId: TaskId,
        token: FencingToken,
    ): Boolean = token <= floor || token < (highestTokens[taskId] ?: FencingToken.NONE)

    fun remember(
        attempt: HandledAttempt,
        inUse: Set<FencingToken>,
    ) {
        byToken[attempt.token] = attempt
        highestTokens.merge(attempt.taskId, attempt.token) { first, second -> maxOf(first, second) }
        if (byToken.size > limit) dropLowest(inUse)
    }

    private fun dropLowest(inUse: Set<FencingToken>) {
        val dropped = byToken.keys.firstOrNull { it !in inUse } ?: return
        val attempt = byToken.remove(dropped) ?: return
        highestTokens.remove(attempt.taskId, dropped)
        floor = maxOf(floor, dropped)
    }
}
