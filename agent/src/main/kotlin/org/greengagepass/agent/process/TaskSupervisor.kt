/*
 * Decides about tasks: which grants are valid, which starts are admitted, which calls the worker gets, and what is
 * reported to the owner of the partition. It uses neither sockets nor a clock; the worker checks all deadlines by its
 * own clock.
 */
package org.greengagepass.agent.process

import arrow.core.Either
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.AdmissionRefusal
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.core.process.HostAdmission
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.process.StartAdmission
import org.greengagepass.core.process.StartAnswer
import org.greengagepass.core.process.StartRequest
import org.greengagepass.protocol.connection.EntryMessage.Grant
import org.greengagepass.protocol.connection.TaskChange
import org.greengagepass.protocol.connection.TaskCommand
import org.greengagepass.protocol.connection.TaskReport
import org.greengagepass.protocol.connection.TaskStart
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.PlatformError
import org.greengagepass.services.process.WorkerReport
import org.greengagepass.services.process.WorkerStart

/** A call to make to the worker. */
internal sealed class WorkerAction {
    /** Start an attempt and report the answer. */
    data class Start(
        val start: WorkerStart,
    ) : WorkerAction()

    /** Renew leases. */
    data class Renew(
        val tokens: List<FencingToken>,
        val leaseDeadline: Timestamp,
    ) : WorkerAction()

    /** Carry out a command of the owner. */
    data class Command(
        val command: TaskCommand,
    ) : WorkerAction()

    /** Discard the worker's records of ended attempts. */
    data class Forget(
        val tokens: List<FencingToken>,
    ) : WorkerAction()
}

/** Decides about the tasks of one host. [reserve] is the part of its capacity kept for upstreams. */
internal class TaskSupervisor(
    private val reserve: Resources,
) {
    /** Events for the owner. */
    val events = TaskEvents()

    /** When true, starts are refused because the failure domain is out of service. */
    var failureDomainOut: Boolean = false

    private var admission = HostAdmission(reserve)
    private val attempts = HeldAttempts()
    private val stopReasons = HashMap<FencingToken, ReleaseReason>()
    private val unconfirmedStarts = LinkedHashMap<FencingToken, WorkerStart>()
    private val refused = RefusedTokens()
    private var draining = false

    /** Sequence number of the heartbeat that the newest grant answers. */
    var newestSequence = -1L
        private set

    /** Highest epoch of all grants so far. */
    val highestEpoch: Epoch get() = admission.highestEpoch

    /** Capacity that is free for further tasks. */
    val free: Resources get() = admission.free

    /** True once the worker has reported its attempts. */
    val isReady: Boolean get() = admission.isReady

    /** Attempts for a heartbeat: running ones, and ended ones whose end is not recorded. */
    val tasks: List<TaskReport> get() = attempts.reports

    /** Tokens of running attempts. */
    val runningTokens: List<FencingToken> get() = attempts.reports.map { it.token }.filterNot { events.hasEnd(it) }

    /** Refuses starts from now on. */
    fun startDraining() {
        draining = true
        admission.drain()
    }

    /** Handles the first [report] after attaching to the worker. Admission restarts from its content. */
    fun attached(report: WorkerReport) {
        val epoch = admission.highestEpoch
        admission = HostAdmission(reserve)
        admission.checkEpoch(epoch)
        if (draining) admission.drain()
        reported(report)
    }

    /** Updates the attempts from [report] and adds events for those that started or ended. */
    fun reported(report: WorkerReport) {
        if (!admission.apply(report.workerSnapshot())) return
        attempts.update(report)
        report.attempts.forEach { attempt ->
            unconfirmedStarts.remove(attempt.token)
            if (attempt.state == AttemptState.RUNNING) {
                events.started(attempt.taskId, attempt.token)
            } else {
                val reason = stopReasons.remove(attempt.token) ?: ReleaseReason.EVICTED
                attempt.endedChange(reason)?.let { events.ended(attempt.taskId, attempt.token, it) }
            }
        }
        unconfirmedStarts.values.filter { report.clock > it.startDeadline }.forEach { start ->
            unconfirmedStarts.remove(start.token)
            val detail = "the worker did not take the start before its deadline"
            refuse(start, AdmissionRefusal(ResultCode.STALE_PERMISSION, detail))
        }
    }

    /** Applies [grant] and returns the calls to make to the worker. A grant of a lower epoch has no effect. */
    fun granted(grant: Grant): List<WorkerAction> {
        if (isOutdated(grant)) return emptyList()
        newestSequence = grant.sequence
        events.recorded(grant.recorded)
        attempts.remove(grant.recorded)
        return buildList {
            val renewable = grant.renewals.filter { it in attempts }
            if (renewable.isNotEmpty()) add(WorkerAction.Renew(renewable, grant.leaseDeadlineWorkerClock))
            addAll(grant.starts.mapNotNull { start(it, grant) })
            addAll(grant.commands.filterNot { events.hasEnd(it.token) }.map { command(it) })
            if (grant.recorded.isNotEmpty()) add(WorkerAction.Forget(grant.recorded))
        }
    }

    /** Handles the worker's answer to a start. */
    fun started(
        start: WorkerStart,
        answer: Either<PlatformError, Unit>,
    ) {
        val startAnswer = answer.fold({ it.startAnswer() }, { StartAnswer.Accepted })
        val isProvenNotRun = admission.startAnswered(start.token, startAnswer)
        when {
            startAnswer is StartAnswer.Accepted -> {
                attempts.add(start)
                events.started(start.taskId, start.token)
            }
            startAnswer is StartAnswer.Refused && isProvenNotRun -> refuse(start, startAnswer.refusal)
            else -> unconfirmedStarts[start.token] = start
        }
    }

    /** Handles a checkpoint that the worker took of the attempt with [token]. */
    fun checkpointed(
        token: FencingToken,
        checkpoint: Checkpoint,
    ) {
        val report = attempts.updateCheckpoint(token, checkpoint) ?: return
        events.checkpointed(report.taskId, token, TaskChange.Checkpointed(checkpoint))
    }

    private fun isOutdated(grant: Grant): Boolean {
        val isHigherEpoch = grant.epoch > admission.highestEpoch
        if (admission.checkEpoch(grant.epoch).isLeft()) return true
        return !isHigherEpoch && grant.sequence < newestSequence
    }

    private fun start(
        start: TaskStart,
        grant: Grant,
    ): WorkerAction? {
        val workerStart = start.withDeadlines(grant)
        val refusal = refused.find(start.token) ?: grant.startRefusal(failureDomainOut)
        val decision =
            if (refusal == null) admission.admit(workerStart.startRequest(grant.epoch)) else Either.Left(refusal)
        return decision.fold(
            {
                refuse(workerStart, it)
                null
            },
            { if (it is StartAdmission.Admitted) WorkerAction.Start(workerStart) else null },
        )
    }

    private fun refuse(
        start: WorkerStart,
        refusal: AdmissionRefusal,
    ) {
        if (start.token in attempts) return
        refused.add(start.token, refusal)
        events.ended(start.taskId, start.token, TaskChange.Refused(refusal.code, refusal.detail))
    }

    private fun command(command: TaskCommand): WorkerAction {
        if (command is TaskCommand.Evict) stopReasons[command.token] = command.reason
        return WorkerAction.Command(command)
    }
}

private fun Grant.startRefusal(failureDomainOut: Boolean): AdmissionRefusal? =
    when {
        failureDomainOut -> AdmissionRefusal(ResultCode.FAILURE_DOMAIN_OUT, "the failure domain is out")
        startDeadlineWorkerClock == null ->
            AdmissionRefusal(ResultCode.STALE_PERMISSION, "the grant permits no start")
        else -> null
    }
