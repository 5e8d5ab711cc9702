/*
 * A simulated host with a worker and an agent. A restarted agent has no state of the earlier one.
 */
package org.greengagepass.core.process

import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.process.OwnerInput.AttemptEvent
import org.greengagepass.core.process.OwnerInput.HostHeartbeat

internal class FakeAgent(
    val incarnation: Long,
) {
    var highestEpoch = Epoch.NONE
    var lastSequence = 0L
    var sequence = 0L
    var pausedUntil = 0L
    var callsDoneAt = 0L
    val refused = HashSet<FencingToken>()
    val events = LinkedHashMap<FencingToken, AttemptEvent>()

    fun event(
        host: HostId,
        taskId: TaskId,
        token: FencingToken,
        change: AttemptChange,
    ) = AttemptEvent(host, Incarnation(incarnation), taskId, token, change)
}

internal class FakeHost(
    private val partition: PartitionSimulation,
    private val host: HostId,
    private val domain: FailureDomainName,
) {
    private val simulation = partition.simulation
    private var boots = 0L
    private var incarnations = 0L
    var worker: FakeWorker? = null
    private var agent: FakeAgent? = null

    /** The only entry that the host can reach; null if it reaches all. */
    var onlyReachable: FakeEntry? = null

    fun boot() {
        if (worker != null) return
        worker = FakeWorker(simulation, partition.guarantees, partition::outSince, host, domain, ++boots)
        startAgent()
    }

    fun crash() {
        worker?.endExpired()
        worker?.crash()
        worker = null
        agent = null
    }

    fun killAgent() {
        agent = null
    }

    /** Starts a new agent, which attaches to the worker, unless the host is down. */
    fun startAgent() {
        val attached = worker ?: return
        val started = FakeAgent(++incarnations)
        agent = started
        attached.incarnation = started.incarnation
        simulation.every(1_000L) { agent === started && true.also { report(started) } }
    }

    /** Pauses the agent for [millis]; calls to the worker that it has begun are made after the pause. */
    fun pauseAgent(millis: Long) {
        val paused = agent ?: return
        paused.pausedUntil = simulation.now + millis
        paused.callsDoneAt = maxOf(paused.callsDoneAt, paused.pausedUntil)
    }

    fun receive(
        sender: FakeEntry,
        incarnation: Incarnation,
        grant: HostGrant,
    ) {
        val receiver = agent?.takeIf { it.incarnation == incarnation.value && reaches(sender) } ?: return
        if (simulation.now < receiver.pausedUntil) {
            simulation.at(receiver.pausedUntil) { receive(sender, incarnation, grant) }
            return
        }
        val isOld = grant.epoch == receiver.highestEpoch && grant.sequence <= receiver.lastSequence
        if (grant.epoch >= receiver.highestEpoch && !isOld) {
            receiver.highestEpoch = grant.epoch
            receiver.lastSequence = grant.sequence
            carryOut(receiver, grant)
        }
    }

    fun reaches(entry: FakeEntry): Boolean = onlyReachable == null || onlyReachable === entry

    private fun carryOut(
        receiver: FakeAgent,
        grant: HostGrant,
    ) {
        call(receiver) { renew(grant.renewals, grant.leaseDeadlineWorkerClock) }
        grant.starts.forEach { start -> call(receiver) { startAttempt(this, receiver, grant, start) } }
        grant.commands.forEach { command ->
            call(receiver) {
                when (command) {
                    is AttemptCommand.Evict -> evict(command)
                    is AttemptCommand.Stop -> stop(command.token, ReleaseReason.EVICTED)
                }
            }
        }
        grant.recorded.forEach { token ->
            call(receiver) {
                stop(token, ReleaseReason.LEASE_ENDED)
                forget(token)
                receiver.events.remove(token)
            }
        }
    }

    private fun startAttempt(
        target: FakeWorker,
        receiver: FakeAgent,
        grant: HostGrant,
        start: AttemptStart,
    ) {
        val deadline = checkNotNull(grant.startDeadlineWorkerClock)
        val isStarted =
            start.token !in receiver.refused && target.start(start, deadline, grant.leaseDeadlineWorkerClock)
        if (isStarted) {
            event(receiver, receiver.event(host, start.taskId, start.token, AttemptChange.Started))
        } else if (simulation.chance(percent = 50)) {
            receiver.refused += start.token
            val refused = AttemptChange.Refused(ResultCode.HOST_FULL)
            event(receiver, receiver.event(host, start.taskId, start.token, refused))
        }
    }

    /** Makes one call to the worker after the other; the worker refuses calls of an agent that was replaced. */
    private fun call(
        caller: FakeAgent,
        action: FakeWorker.() -> Unit,
    ) {
        val target = worker ?: return
        caller.callsDoneAt = maxOf(caller.callsDoneAt, simulation.now) + simulation.random.nextInt(3)
        simulation.at(caller.callsDoneAt) {
            if (worker === target && target.incarnation == caller.incarnation) {
                target.endExpired()
                target.action()
            }
        }
    }

    private fun event(
        sender: FakeAgent,
        event: AttemptEvent,
    ) {
        sender.events[event.token] = event
        partition.toEntries(this, event)
    }

    private fun report(sender: FakeAgent) {
        val source = worker
        if (source == null || simulation.now < sender.pausedUntil) return
        source.endExpired()
        source.attempts.values.forEach { attempt ->
            attempt.end?.let { sender.events[attempt.token] = sender.event(host, attempt.taskId, attempt.token, it) }
        }
        val capacity = Resources(milliCores = FakeWorker.SLOTS.toLong())
        val heartbeat =
            HostHeartbeat(
                host = host,
                incarnation = Incarnation(sender.incarnation),
                sequence = ++sender.sequence,
                failureDomain = domain,
                rack = RackName("rack-$host"),
                workerClock = source.clock.read(),
                highestEpoch = sender.highestEpoch,
                capacity = capacity,
                free = capacity - Resources(milliCores = source.running.toLong()),
                attempts = source.attempts.values.map { HeldAttempt(it.taskId, it.token, it.checkpoint) },
            )
        partition.toEntries(this, heartbeat)
        sender.events.values
            .toList()
            .forEach { partition.toEntries(this, it) }
    }
}
