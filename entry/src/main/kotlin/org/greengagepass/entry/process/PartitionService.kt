/*
 * One partition at this entry, as callers and agents use it.
 */
package org.greengagepass.entry.process

import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.CallerAnswer
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.core.process.Ownership
import org.greengagepass.core.process.PartitionOwner
import org.greengagepass.core.process.RequestKey
import org.greengagepass.core.process.TaskSpecification
import org.greengagepass.core.process.TaskTable
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.entry.connection.AgentSession
import org.greengagepass.entry.connection.toOwnerInput
import org.greengagepass.entry.request.CallerRequest
import org.greengagepass.platform.process.LogPage
import org.greengagepass.protocol.connection.AgentMessage

/** Partition [number], whose decisions [owner] makes. Confined to the process's decision dispatcher. */
public class PartitionService(
    number: PartitionNumber,
    private val owner: PartitionOwner,
    private val surroundings: PartitionSurroundings,
) {
    private val stream = "tasks-${number.value}"
    private val loop = OwnerLoop(stream, owner, surroundings)

    /** True if this entry schedules the partition. */
    public val isOwned: Boolean
        get() = owner.ownedEpoch != null

    /** Who schedules the partition, as far as the stream has been read. */
    public val ownership: Ownership
        get() = owner.state.ownership

    /** The tasks, as far as the stream has been read. */
    public val tasks: TaskTable
        get() = owner.state.tasks

    /** Number of records that wait to be appended or read back. */
    public val queueLength: Int
        get() = owner.queueLength

    /** Follows the stream until the process ends. */
    public suspend fun follow() {
        StreamFollower(surroundings.log, stream, surroundings.clock, onPage = ::onPage).run()
    }

    /** Lets time pass; to be called once in each flush window. */
    public fun tick() {
        loop.handle(OwnerInput.Tick)
    }

    /** A heartbeat of an agent of this partition. */
    public fun onHeartbeat(
        session: AgentSession,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        heartbeat.toOwnerInput(session.hello)?.let(loop::handle)
    }

    /** An event of an attempt on a host of this partition. */
    public fun onTaskEvent(
        session: AgentSession,
        event: AgentMessage.TaskEvent,
    ) {
        loop.handle(event.toOwnerInput(session.identity))
    }

    /** Submits a task and waits for the record to be read back, until [deadline]. */
    public suspend fun submit(
        specification: TaskSpecification,
        deadline: Timestamp,
    ): CallerAnswer = loop.ask { OwnerInput.SubmitTask(it, specification, deadline) }

    /** Asks for [taskId] to be cancelled. */
    public suspend fun cancel(
        taskId: TaskId,
        deadline: Timestamp,
    ): CallerAnswer = loop.ask { OwnerInput.CancelTask(it, taskId, deadline) }

    /** Carries out a non-idempotent request under [key], at most once. */
    public suspend fun execute(
        request: CallerRequest,
        key: RequestKey,
        bodyDigest: String,
    ): RequestOutcome {
        val answer =
            loop.ask(request) { requestId -> OwnerInput.ClaimRequest(requestId, key, bodyDigest, request.deadline) }
        return when (answer) {
            is CallerAnswer.Ended -> answer.outcome
            is CallerAnswer.Submitted, is CallerAnswer.CancelRecorded ->
                RequestOutcome.Unknown(ResultCode.INTERNAL, "the partition gave an answer of another kind")
        }
    }

    /** Gives the partition up and waits until that is recorded. */
    public suspend fun release() {
        val wasOwned = isOwned
        loop.handle(OwnerInput.Shutdown)
        if (wasOwned) loop.released.await()
    }

    private fun onPage(
        page: LogPage,
        readSentAt: Timestamp,
    ) {
        loop.handle(
            OwnerInput.PageRead(
                sentAt = readSentAt,
                fromOffset = owner.state.nextOffset,
                batches = page.records.mapNotNull { decodeTaskBatch(stream, it) },
                nextOffset = page.nextOffset,
                oldestOffset = page.oldestOffset,
            ),
        )
    }
}
