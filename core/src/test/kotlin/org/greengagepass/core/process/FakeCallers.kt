/*
 * Simulated callers that submit and cancel tasks and send non-idempotent requests, and the upstreams that answer them.
 */
package org.greengagepass.core.process

import org.greengagepass.core.ProfileName
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.TeamName
import org.greengagepass.core.WorkKind
import org.greengagepass.core.request.Answer
import org.greengagepass.core.request.RequestOutcome

internal class FakeCallers(
    private val partition: PartitionSimulation,
) {
    private val simulation = partition.simulation
    private val team = TeamName("team")
    private val keysByRequest = HashMap<RequestId, RequestKey>()
    private val submitted = ArrayList<TaskId>()
    private var nextNumber = 0
    val accepted = HashSet<TaskId>()

    fun submit(entry: FakeEntry) {
        val number = nextNumber++
        val input = if (simulation.chance(percent = 8)) FakeWorker.CANNOT_RUN else ""
        val specification =
            TaskSpecification(
                taskId = TaskId("task-$number"),
                team = team,
                profile = ProfileName("batch"),
                kind = WorkKind("audit"),
                declared = Resources(milliCores = 1),
                input = input,
            )
        submitted += specification.taskId
        entry.receive(OwnerInput.SubmitTask(RequestId("submit-$number"), specification, entry.deadline(5_000)))
    }

    fun cancel(entry: FakeEntry) {
        val task = submitted.randomOrNull(simulation.random) ?: return
        partition.guarantees.cancelRequested(task)
        val id = RequestId("cancel-${nextNumber++}")
        entry.receive(OwnerInput.CancelTask(id, task, entry.deadline(5_000)))
    }

    fun evict(entry: FakeEntry) {
        submitted.randomOrNull(simulation.random)?.let { entry.receive(OwnerInput.EvictTask(it)) }
    }

    /** Sends a request, often under a key that was used before, as a caller does after an unknown outcome. */
    fun request(entry: FakeEntry) {
        val id = RequestId("request-${nextNumber++}")
        val key = RequestKey(team, "key-${simulation.random.nextInt(15)}")
        keysByRequest[id] = key
        entry.receive(OwnerInput.ClaimRequest(id, key, "digest", entry.deadline(4_000)))
    }

    /** Dispatches to an upstream that may run the request late and whose answer may be lost. */
    fun dispatch(
        entry: FakeEntry,
        decision: OwnerDecision.DispatchPermitted,
    ) {
        val dispatch = partition.guarantees.dispatchPermitted(decision.key, decision.requestId)
        val isRefused = simulation.chance(percent = 30)
        val isAnswerLost = simulation.chance(percent = 20)
        val outcome =
            when {
                isRefused -> RequestOutcome.NotRun(ResultCode.NO_UPSTREAM, "refused")
                isAnswerLost -> RequestOutcome.Unknown(ResultCode.AGENT_LOST, "no answer")
                else -> RequestOutcome.Ran(Answer(status = 200, contentType = "text/plain", body = "done"))
            }
        dispatch.isProvenNotRun = isRefused
        simulation.after(10L..3_000L) {
            dispatch.hasRun = !isRefused
            entry.receive(OwnerInput.RequestEnded(decision.key, decision.token, outcome))
        }
    }

    fun answered(decision: OwnerDecision.AnswerCaller) {
        when (val answer = decision.answer) {
            is CallerAnswer.Submitted -> accepted += answer.taskId
            is CallerAnswer.CancelRecorded -> partition.guarantees.count("cancellations recorded")
            is CallerAnswer.NotOwner -> partition.guarantees.count("answers NotOwner")
            is CallerAnswer.Ended ->
                keysByRequest[decision.requestId]?.let {
                    partition.guarantees.answered(decision.requestId, it, answer.outcome)
                }
        }
    }
}
