/*
 * Decisions of a host on starts, kept so that duplicated and late starts get the same decision again. Their number is
 * bounded: unknown tokens up to the highest one whose decision was dropped are refused.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.TaskId
import java.util.TreeMap

/** The decision on one attempt. [refusal] is null if it was admitted or is known from a snapshot of the worker. */
internal data class HandledAttempt(
    val taskId: TaskId,
    val token: FencingToken,
    val refusal: AdmissionRefusal? = null,
)

/** The newest [limit] decisions, and those on attempts that still hold capacity. */
internal class HandledAttempts(
    private val limit: Int,
) {
    private val byToken = TreeMap<FencingToken, HandledAttempt>()
    private val highestTokens = HashMap<TaskId, FencingToken>()
    private var highestDroppedToken = FencingToken.NONE

    fun decisionOn(token: FencingToken): HandledAttempt? = byToken[token]

    /** True if a higher token of [taskId] is known, or if [token] is too old for a decision to be known. */
    fun isOutdated(
        taskId: TaskId,
        token: FencingToken,
    ): Boolean = token <= highestDroppedToken || token < (highestTokens[taskId] ?: FencingToken.NONE)

    fun add(
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
        highestDroppedToken = maxOf(highestDroppedToken, dropped)
    }
}
