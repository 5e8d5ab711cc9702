/*
 * The supervisor against the simulated worker, in simulated time, with lost answers and with grants that are repeated,
 * late or from replaced owners.
 */
package org.greengagepass.agent.process

import arrow.core.Either
import arrow.core.left
import io.kotest.property.Arb
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.agent.FakeEntry
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.Timestamp
import org.greengagepass.protocol.connection.EntryMessage.Grant
import org.greengagepass.protocol.connection.TaskChange
import org.greengagepass.protocol.connection.TaskStart
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.PlatformError
import org.greengagepass.services.process.RefusalBody
import org.greengagepass.services.process.RenewBody
import org.greengagepass.standins.process.SimulatedWorker
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue
import kotlin.random.Random

private val INCARNATION = Incarnation(1)
private val CAPACITY = Resources(4_000, 4_000)
private val RESERVE = Resources(1_000, 1_000)

class TaskSupervisorTest {
    /** Guards against an overfilled host and against two concurrent attempts of a task. */
    @Test
    fun `no sequence of faults overfills the host or starts an attempt twice`() =
        runTest {
            checkAll(300, Arb.long()) { seed ->
                val host = SimulatedHost(Random(seed))
                repeat(80) { host.step() }
                val page = host.worker.history(0)
                expectThat((page.mostInUse + RESERVE).fitsIn(CAPACITY)).describedAs("seed $seed").isTrue()
                val starts = page.events.filter { it.state == AttemptState.RUNNING }
                expectThat(starts.map { it.token }.toSet()).describedAs("seed $seed").hasSize(starts.size)
                host.expectRefusedNeverRan(starts.map { it.token }.toSet(), seed)
            }
        }

    /** Guards against starts before the agent knows what its predecessor left running. */
    @Test
    fun `nothing starts before the worker has reported`() {
        val supervisor = TaskSupervisor(RESERVE)
        expectThat(supervisor.granted(grant(starts = listOf(FakeEntry.task(1))))).hasSize(0)
        expectThat(
            supervisor.events
                .unrecordedEnds()
                .single()
                .change,
        ).isA<TaskChange.Refused>()
    }

    /** Guards against a task that starts after its owner has acted on the refusal. */
    @Test
    fun `a refused start stays refused`() {
        val host = SimulatedHost(Random(1))
        host.supervisor.failureDomainOut = true
        host.supervisor.granted(grant(starts = listOf(FakeEntry.task(1))))
        host.supervisor.failureDomainOut = false
        host.supervisor.granted(grant(recorded = listOf(1)))
        expectThat(host.supervisor.granted(grant(starts = listOf(FakeEntry.task(1))))).hasSize(0)
        val change =
            host.supervisor.events
                .unrecordedEnds()
                .single()
                .change
        expectThat(change).isA<TaskChange.Refused>().get { code }.isEqualTo(ResultCode.FAILURE_DOMAIN_OUT)
    }

    /** Guards against a start that is reported as refused while it may still take effect. */
    @Test
    fun `only reports decide whether a start without an answer took effect`() {
        val host = SimulatedHost(Random(1))
        val action = host.supervisor.granted(grant(starts = listOf(FakeEntry.task(1)))).single() as WorkerAction.Start
        host.supervisor.started(action.start, PlatformError.NoAnswer("lost").left())
        host.report()
        expectThat(host.supervisor.events.hasEnd(FencingToken(1))).isFalse()
        expectThat(host.supervisor.free).isEqualTo(CAPACITY - RESERVE - action.start.limit)
        host.clock = action.start.startDeadline.plusMillis(1)
        host.report()
        expectThat(
            host.supervisor.events
                .unrecordedEnds()
                .single()
                .change,
        ).isA<TaskChange.Refused>()
        expectThat(host.supervisor.free).isEqualTo(CAPACITY - RESERVE)
    }

    private fun grant(
        starts: List<TaskStart> = emptyList(),
        recorded: List<Long> = emptyList(),
    ) = Grant(
        sequence = 1,
        epoch = Epoch(1),
        leaseDeadlineWorkerClock = Timestamp(10_000),
        startDeadlineWorkerClock = Timestamp(3_000),
        renewals = emptyList(),
        starts = starts,
        commands = emptyList(),
        recorded = recorded.map { FencingToken(it) },
    )
}

/** A worker and its supervisor, driven by random events. */
private class SimulatedHost(
    private val random: Random,
) {
    val worker = SimulatedWorker("worker", CAPACITY, usageLagMillis = 0)
    var supervisor = TaskSupervisor(RESERVE)
    var clock = Timestamp(0)
    private val delayedStarts = mutableListOf<WorkerAction.Start>()
    private val grants = mutableListOf<Grant>()
    private val refused = mutableSetOf<FencingToken>()
    private var nextToken = 1L

    init {
        attach()
    }

    fun step() {
        clock = clock.plusMillis(random.nextLong(800))
        when (random.nextInt(8)) {
            0, 1, 2 -> applyGrant(newGrant().also { grants += it })
            3 -> grants.randomOrNull(random)?.let { applyGrant(it) }
            4 -> delayedStarts.removeFirstOrNull()?.let { deliver(it) }
            5 -> if (random.nextInt(4) == 0) restart()
            else -> report()
        }
        worker.advance(clock)
        supervisor.events
            .unrecordedEnds()
            .filter { it.change is TaskChange.Refused }
            .forEach { refused += it.token }
    }

    fun report() = worker.report(INCARNATION, clock).onRight { supervisor.reported(it) }

    fun expectRefusedNeverRan(
        ran: Set<FencingToken>,
        seed: Long,
    ) = expectThat(refused intersect ran).describedAs("refused and ran, seed $seed").hasSize(0)

    private fun attach() = worker.attach(INCARNATION, clock).onRight { supervisor.attached(it) }

    /** Restarts the agent: its memory is lost, and calls under way may still arrive at the worker. */
    private fun restart() {
        supervisor = TaskSupervisor(RESERVE)
        delayedStarts.clear()
        grants.clear()
        attach()
    }

    private fun newGrant(): Grant {
        val limit = Resources(random.nextLong(100, 2_500), random.nextLong(100, 2_500))
        val input = """{"runMillis":${random.nextLong(5_000)},"milliCores":100,"memoryMegabytes":50}"""
        val starts = List(random.nextInt(3)) { FakeEntry.task(nextToken++, input, limit) }
        return Grant(
            sequence = nextToken,
            epoch = Epoch(random.nextLong(1, 3)),
            leaseDeadlineWorkerClock = clock.plusMillis(10_000),
            startDeadlineWorkerClock = clock.plusMillis(random.nextLong(3_000)),
            renewals = supervisor.runningTokens,
            starts = starts,
            commands = emptyList(),
            recorded = emptyList(),
        )
    }

    private fun applyGrant(grant: Grant) =
        supervisor.granted(grant).forEach { action ->
            when (action) {
                is WorkerAction.Start -> if (random.nextInt(4) == 0) lose(action) else deliver(action)
                is WorkerAction.Renew ->
                    worker.renew(
                        RenewBody(INCARNATION, action.tokens, action.leaseDeadline),
                        clock,
                    )
                is WorkerAction.Forget -> worker.forget(INCARNATION, action.tokens, clock)
                is WorkerAction.Command -> Unit
            }
        }

    /** Loses the answer; the call arrives at the worker later. */
    private fun lose(action: WorkerAction.Start) {
        supervisor.started(action.start, PlatformError.NoAnswer("lost").left())
        delayedStarts += action
    }

    private fun deliver(action: WorkerAction.Start) {
        val answer = worker.start(INCARNATION, action.start, clock)
        supervisor.started(action.start, answer.asPlatform())
    }

    private fun Either<RefusalBody, Unit>.asPlatform() = mapLeft { PlatformError.Refused(it.detail, it.reason) }
}
