/*
 * Grants to agents. The cost of a heartbeat is proportional to the number of attempts on its host.
 */
package org.greengagepass.core.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.process.OwnerInput.HostHeartbeat

/** Builds the grants that answer heartbeats. */
internal class GrantBuilder(
    private val context: OwnerContext,
    private val permission: StartPermission,
    private val attempts: AttemptRecorder,
    private val ends: AttemptEnds,
) {
    /** A grant under construction. */
    private inner class Draft(
        val heartbeat: HostHeartbeat,
    ) {
        val heldAttempts = heartbeat.attempts.associateBy { it.token }
        val startDeadline = permission.deadline(heartbeat)
        val isOut = permission.isOut(heartbeat.failureDomain)
        val current = HashSet<FencingToken>()
        val renewals = mutableListOf<FencingToken>()
        val starts = mutableListOf<AttemptStart>()
        val commands = mutableListOf<AttemptCommand>()

        /** Limits of attempts that the free resources in the heartbeat do not account for yet. */
        var uncounted = Resources.NONE
    }

    /** The grant that answers the last heartbeat of [host]. */
    fun grantFor(host: ReportingHost): HostGrant {
        val heartbeat = host.heartbeat
        val draft = Draft(heartbeat)
        context.state.tasks
            .on(heartbeat.host)
            .forEach { add(it, draft) }
        host.free = host.assigning.values.fold(heartbeat.free - draft.uncounted, Resources::minus)
        draft.heldAttempts.keys
            .filter { it !in draft.current }
            .forEach { ends.markRecorded(heartbeat.host, it) }
        return HostGrant(
            sequence = heartbeat.sequence,
            epoch = context.epoch,
            leaseDeadlineWorkerClock = heartbeat.workerClock.plusMillis(context.settings.leaseMillis),
            startDeadlineWorkerClock = draft.startDeadline,
            renewals = draft.renewals,
            starts = draft.starts,
            commands = draft.commands,
            recorded = ends.takeRecorded(heartbeat.host).toList(),
        )
    }

    private fun add(
        task: Task,
        draft: Draft,
    ) {
        val attempt = task.state.attempt ?: return
        val held = draft.heldAttempts[attempt.token]
        draft.current += attempt.token
        when {
            ends.isEnding(attempt.token) -> Unit
            held != null -> renew(task, attempt, held, draft)
            else -> startOrEnd(task, attempt, draft)
        }
    }

    private fun renew(
        task: Task,
        attempt: Attempt,
        held: HeldAttempt,
        draft: Draft,
    ) {
        attempts.started(task, attempt)
        attempts.checkpointed(task, attempt, held.checkpoint)
        if (task.cancelRequested) {
            draft.commands += AttemptCommand.Stop(attempt.token)
        } else {
            evictIfRequested(attempt, draft)
            draft.renewals += attempt.token
            grantLease(attempt)
        }
    }

    private fun evictIfRequested(
        attempt: Attempt,
        draft: Draft,
    ) {
        if (draft.isOut) {
            draft.commands += AttemptCommand.Evict(attempt.token, ReleaseReason.FAILURE_DOMAIN_OUT)
        } else if (attempt.token in ends.evictions) {
            draft.commands += AttemptCommand.Evict(attempt.token, ReleaseReason.EVICTED)
        }
    }

    private fun startOrEnd(
        task: Task,
        attempt: Attempt,
        draft: Draft,
    ) {
        val isAssigned = task.state is TaskState.Assigned
        val mayStart = isAssigned && !task.cancelRequested && !draft.isOut
        val isHostFenced = draft.heartbeat.highestEpoch == context.epoch
        val isOwn = ends.isOwn(attempt)
        val isUngranted = ends.leases.endOf(attempt.token) == null
        draft.uncounted += attempt.limit
        when {
            // Attempts of an earlier owner are left to expire: a refused start of one would prove nothing.
            mayStart && isOwn && draft.startDeadline != null -> start(task, attempt, draft)
            // The start permission may return; until then nothing that this owner granted can run.
            mayStart && isOwn && isUngranted -> Unit
            isUngranted && !isOwn -> if (isHostFenced) grantLease(attempt)
            else -> attempts.endIfExpired(task, isHostFenced = isHostFenced)
        }
    }

    private fun start(
        task: Task,
        attempt: Attempt,
        draft: Draft,
    ) {
        val specification = task.specification
        draft.starts +=
            AttemptStart(
                taskId = task.id,
                token = attempt.token,
                kind = specification.kind,
                limit = attempt.limit,
                resumeFrom = task.checkpoint,
                input = specification.input,
            )
        grantLease(attempt)
    }

    private fun grantLease(attempt: Attempt) =
        ends.leases.grant(attempt.token, context.now.plusMillis(context.leaseAndMarginMillis))
}
