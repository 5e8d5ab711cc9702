/*
 * One partition at this entry, as callers and agents use it.
 */
package org.greengagepass.entry.process

import arrow.core.Either
import kotlinx.coroutines.delay
import org.apache.logging.log4j.LogManager
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.CallerAnswer
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.core.process.Ownership
import org.greengagepass.core.process.PartitionOwner
import org.greengagepass.core.process.PartitionState
import org.greengagepass.core.process.RequestKey
import org.greengagepass.core.process.TaskSpecification
import org.greengagepass.core.process.TaskTable
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.connection.toOwnerInput
import org.greengagepass.entry.request.CallerRequest
import org.greengagepass.protocol.connection.AgentMessage

/**
 * Partition [number]. It has no tasks until [follow] has read the newest snapshot. Confined to the process's decision
 * dispatcher.
 */
public class PartitionService(
    number: PartitionNumber,
    private val context: PartitionContext,
) {
    private val stream = "tasks-${number.value}"
    private val snapshots = PartitionSnapshots(context.log, stream)
    private var loop: OwnerLoop? = null

    private val owner: PartitionOwner?
        get() = loop?.owner

    /** The tasks according to the part of the stream that was read; none before the newest snapshot is read. */
    public val tasks: TaskTable
        get() = owner?.state?.tasks ?: NO_TASKS

    /** Number of records that are not yet appended and read back. */
    public val queueLength: Int
        get() = owner?.queueLength ?: 0

    /** True if this entry schedules the partition. */
    public val isOwned: Boolean
        get() = owner?.ownedEpoch != null

    /** Owner of the partition according to the part of the stream that was read. */
    public val ownership: Ownership
        get() = owner?.state?.ownership ?: Ownership.NONE

    /** Placement of the partition's tasks; used while this entry owns the partition. */
    public val placement: PartitionPlacement
        get() = context.placement

    /** Reads the stream until the process ends. Restores the newest snapshot if unread records have expired. */
    public suspend fun follow() {
        while (true) {
            when (val state = snapshots.newest()) {
                is Either.Left -> logger.warn("snapshots of {} can't be read: {}", stream, state.value.detail)
                is Either.Right -> follow(state.value)
            }
            delay(RESTORE_DELAY_MILLIS)
        }
    }

    /** Passes the current time to the owner. Must be called once in each flush window. */
    public fun tick() {
        loop?.tick()
    }

    /** Handles a heartbeat of an agent of this partition. */
    public fun onHeartbeat(
        session: AgentSession,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        context.placement.onHeartbeat(session.hello.host, heartbeat)
        heartbeat.toOwnerInput(session.hello)?.let { loop?.handle(it) }
    }

    /** Handles an event of an attempt on a host of this partition. */
    public fun onTaskEvent(
        session: AgentSession,
        event: AgentMessage.TaskEvent,
    ) {
        val input = event.toOwnerInput(session.identity)
        context.placement.onEvent(input)
        loop?.handle(input)
    }

    /** Submits a task and waits until its record is read back, at most until [deadline]. */
    public suspend fun submit(
        specification: TaskSpecification,
        deadline: Timestamp,
    ): CallerAnswer = awaitAnswer { OwnerInput.SubmitTask(it, specification, deadline) }

    /** Requests the cancellation of [taskId] and waits until it is recorded, at most until [deadline]. */
    public suspend fun cancel(
        taskId: TaskId,
        deadline: Timestamp,
    ): CallerAnswer = awaitAnswer { OwnerInput.CancelTask(it, taskId, deadline) }

    /**
     * Executes a non-idempotent request under [key], at most once. Returns null if only another entry knows the outcome
     * for the key.
     */
    public suspend fun execute(
        request: CallerRequest,
        key: RequestKey,
        bodyDigest: String,
    ): RequestOutcome? {
        val answer =
            awaitAnswer(request) { requestId -> OwnerInput.ClaimRequest(requestId, key, bodyDigest, request.deadline) }
        return when (answer) {
            is CallerAnswer.Ended -> answer.outcome
            is CallerAnswer.NotOwner -> null
            is CallerAnswer.Submitted, is CallerAnswer.CancelRecorded ->
                RequestOutcome.Unknown(
                    ResultCode.INTERNAL,
                    "the partition returned an answer that is not for a request",
                )
        }
    }

    /** Releases the partition and waits until the release is recorded. */
    public suspend fun release() {
        val owned = loop?.takeIf { isOwned }
        loop?.handle(OwnerInput.Shutdown)
        owned?.released?.await()
    }

    private suspend fun awaitAnswer(
        request: CallerRequest? = null,
        input: (RequestId) -> OwnerInput,
    ): CallerAnswer =
        loop?.awaitAnswer(request, input)
            ?: if (request == null) CallerAnswer.Ended(NOT_READ) else CallerAnswer.NotOwner

    /** Reads the stream from [state] on. Skips expired records that no snapshot covers, since they are lost. */
    private suspend fun follow(state: PartitionState) {
        val oldestOffset = loop?.restoreFrom ?: 0
        if (state.nextOffset < oldestOffset) {
            logger.error("records of {} from offset {} to {} are lost", stream, state.nextOffset, oldestOffset)
            state.skipTo(oldestOffset)
        }
        val restored = OwnerLoop(stream, context, snapshots, state)
        loop = restored
        StreamFollower(
            log = context.log,
            stream = stream,
            clock = context.clock,
            fromOffset = restored.owner.state.nextOffset,
            onPage = restored::onPage,
        ).runWhile { restored.restoreFrom == null }
    }

    private companion object {
        private val logger = LogManager.getLogger(PartitionService::class.java)
        private const val RESTORE_DELAY_MILLIS = 500L
        private val NO_TASKS = PartitionState().tasks
        private val NOT_READ =
            RequestOutcome.NotRun(ResultCode.LOG_UNAVAILABLE, "the partition has not been read from the log yet")
    }
}
