/*
 * Requests of callers to submit and cancel tasks. A caller is answered once its record has been read back.
 */
package org.greengagepass.core.process

import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.OwnerInput.CancelTask
import org.greengagepass.core.process.OwnerInput.SubmitTask
import org.greengagepass.core.process.TaskRecord.CancelRequested
import org.greengagepass.core.process.TaskRecord.Submitted
import org.greengagepass.core.request.RequestOutcome
import java.util.PriorityQueue

/** A caller and its deadline. */
internal data class Caller(
    val requestId: RequestId,
    val deadline: Timestamp,
)

internal fun notRun(
    code: ResultCode,
    detail: String,
): CallerAnswer = CallerAnswer.Ended(RequestOutcome.NotRun(code, detail))

internal fun unknown(
    code: ResultCode,
    detail: String,
): CallerAnswer = CallerAnswer.Ended(RequestOutcome.Unknown(code, detail))

/** Handles submissions and cancellations. Any entry may write them, whether it owns the partition or not. */
internal class TaskRequests(
    private val context: OwnerContext,
) {
    private val state = context.state
    private val callersByRecord = HashMap<TaskRecord, MutableList<Caller>>()
    private val deadlines = PriorityQueue<PendingCaller>(compareBy { it.caller.deadline })

    private class PendingCaller(
        val caller: Caller,
        val record: TaskRecord,
    )

    fun submit(input: SubmitTask) {
        val caller = Caller(input.requestId, input.deadline)
        if (state.tasks[input.specification.taskId] == null) {
            offer(caller, Submitted(input.specification, context.clock.epochMillis))
        } else {
            context.answer(caller, answerTo(input.specification))
        }
    }

    fun cancel(input: CancelTask) {
        val caller = Caller(input.requestId, input.deadline)
        val task = state.tasks[input.taskId]
        if (task == null || task.hasEnded || task.cancelRequested) {
            context.answer(caller, answerToCancel(task))
        } else {
            offer(caller, CancelRequested(input.taskId))
        }
    }

    /** Answers the callers of [record], which was read back, with its outcome in the state. */
    fun readBack(record: TaskRecord) {
        val callers = callersByRecord.remove(record) ?: return
        val answer =
            when (record) {
                is Submitted -> answerTo(record.specification)
                is CancelRequested -> answerToCancel(state.tasks[record.taskId])
                else -> return
            }
        callers.forEach { context.answer(it, answer) }
    }

    /** Answers callers whose deadline has passed. */
    fun tick() {
        while (deadlines.isNotEmpty() && deadlines.peek().caller.deadline <= context.now) {
            expire(deadlines.poll())
        }
    }

    private fun offer(
        caller: Caller,
        record: TaskRecord,
    ) {
        if (context.appender.offer(record)) {
            callersByRecord.getOrPut(record) { mutableListOf() } += caller
            deadlines += PendingCaller(caller, record)
        } else {
            context.answer(caller, notRun(ResultCode.LOG_UNAVAILABLE, "the queue of the log is full"))
        }
    }

    private fun expire(expired: PendingCaller) {
        val callers = callersByRecord[expired.record] ?: return
        if (!callers.remove(expired.caller)) {
            return
        }
        val isWithdrawn =
            callers.isEmpty() && context.appender.withdraw(expired.record) == Withdrawal.WITHDRAWN
        if (callers.isEmpty()) {
            callersByRecord.remove(expired.record)
        }
        val answer =
            if (isWithdrawn) {
                notRun(ResultCode.LOG_UNAVAILABLE, "not appended before the deadline")
            } else {
                unknown(ResultCode.APPEND_NOT_CONFIRMED, "sent to the log and not read back before the deadline")
            }
        context.answer(expired.caller, answer)
    }

    private fun answerTo(specification: TaskSpecification): CallerAnswer =
        if (state.tasks[specification.taskId]?.specification == specification) {
            CallerAnswer.Submitted(specification.taskId)
        } else {
            notRun(ResultCode.KEY_REUSED, "another task has this identifier")
        }

    private fun answerToCancel(task: Task?): CallerAnswer =
        task?.let { CallerAnswer.CancelRecorded(it.state) } ?: notRun(ResultCode.NOT_FOUND, "no such task")
}
