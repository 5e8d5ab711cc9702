/*
 * State that the classes of a partition's owner share while they handle one input.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.Timestamp

/** State of the partition, the queue of records, and the decisions on the current input. */
internal class OwnerContext(
    val identity: OwnerIdentity,
    val settings: OwnerSettings,
    val state: PartitionState,
) {
    val appender = LogAppender(identity.entry.value, settings)
    private val decisions = mutableListOf<OwnerDecision>()

    var clock = ClockReading(Timestamp(0), 0)

    val now: Timestamp
        get() = clock.monotonic

    val epoch: Epoch
        get() = state.ownership.epoch

    val leaseAndMarginMillis: Long
        get() = settings.leaseMillis + settings.marginMillis

    fun decide(decision: OwnerDecision) {
        decisions += decision
    }

    fun answer(
        caller: Caller,
        answer: CallerAnswer,
    ) = decide(OwnerDecision.AnswerCaller(caller.requestId, answer))

    fun answerAll(
        callers: MutableList<Caller>,
        answer: CallerAnswer,
    ) {
        callers.forEach { answer(it, answer) }
        callers.clear()
    }

    fun takeDecisions(): List<OwnerDecision> = decisions.toList().also { decisions.clear() }
}
