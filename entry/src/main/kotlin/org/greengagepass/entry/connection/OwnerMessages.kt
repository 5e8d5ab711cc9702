/*
 * Conversion between the messages of agents and the inputs and decisions of the owner of a partition.
 */
package org.greengagepass.entry.connection

import org.greengagepass.core.connection.AgentIdentity
import org.greengagepass.core.process.AttemptChange
import org.greengagepass.core.process.AttemptCommand
import org.greengagepass.core.process.HeldAttempt
import org.greengagepass.core.process.HostGrant
import org.greengagepass.core.process.OwnerInput
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.TaskChange
import org.greengagepass.protocol.connection.TaskCommand
import org.greengagepass.protocol.connection.TaskStart

/** The heartbeat as an input of the owner; null until the agent has read the worker's clock. */
public fun AgentMessage.Heartbeat.toOwnerInput(hello: AgentMessage.Hello): OwnerInput.HostHeartbeat? =
    workerClock?.let { clock ->
        OwnerInput.HostHeartbeat(
            host = hello.host,
            incarnation = hello.incarnation,
            sequence = sequence,
            failureDomain = hello.failureDomain,
            rack = hello.rack,
            workerClock = clock,
            highestEpoch = highestEpoch,
            capacity = capacity,
            free = free,
            attempts = tasks.map { HeldAttempt(it.taskId, it.token, it.checkpoint) },
            draining = draining,
        )
    }

/** The event as an input of the owner. */
public fun AgentMessage.TaskEvent.toOwnerInput(agent: AgentIdentity): OwnerInput.AttemptEvent =
    OwnerInput.AttemptEvent(
        host = agent.host,
        incarnation = agent.incarnation,
        taskId = taskId,
        token = token,
        change =
            when (val change = change) {
                is TaskChange.Started -> AttemptChange.Started
                is TaskChange.Refused -> AttemptChange.Refused(change.code)
                is TaskChange.Checkpointed -> AttemptChange.Checkpointed(change.checkpoint)
                is TaskChange.Finished -> AttemptChange.Finished(change.result)
                is TaskChange.Stopped -> AttemptChange.Stopped(change.reason, change.checkpoint)
            },
    )

/** The grant as a message to the agent. */
public fun HostGrant.toMessage(): EntryMessage.Grant =
    EntryMessage.Grant(
        sequence = sequence,
        epoch = epoch,
        leaseDeadlineWorkerClock = leaseDeadlineWorkerClock,
        startDeadlineWorkerClock = startDeadlineWorkerClock,
        renewals = renewals,
        starts = starts.map { TaskStart(it.taskId, it.token, it.kind, it.limit, it.resumeFrom, it.input) },
        commands =
            commands.map {
                when (it) {
                    is AttemptCommand.Evict -> TaskCommand.Evict(it.token, it.reason)
                    is AttemptCommand.Stop -> TaskCommand.Stop(it.token)
                }
            },
        recorded = recorded,
    )
