package org.greengagepass.agent.process.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.HostId
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskKey
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isNull

class CommandSenderTest {
    private val call =
        ExecutorCallContext(HostIncarnation(HostId("host"), ExecutorName("executor"), 1), Epoch(1), 5_000)
    private val run = TaskRun(TaskKey(JobId("job"), 0, 0, 0), 1)
    private val command = StartCommand(run, "payload", "")
    private val noAnswer = ExecutorFailure.NoAnswer("timeout").left()

    @Test
    fun `a start without an answer is ordered again`() =
        runTest {
            val host = FakeTaskHost(noAnswer, noAnswer, StartOutcome.STARTED.right())
            expectThat(CommandSender(host, { true }, { false }).start(call, command)).isEqualTo(StartOutcome.STARTED)
            expectThat(host.calls.toList()).isEqualTo(listOf("start", "start", "start"))
        }

    @Test
    fun `a refusal after a start without an answer counts only once the run is ruled out`() =
        runTest {
            // Guards against placing the task elsewhere while the first order may still be carried out.
            val host = FakeTaskHost(noAnswer, StartOutcome.NO_ROOM.right())
            expectThat(CommandSender(host, { true }, { false }).start(call, command)).isEqualTo(StartOutcome.SUPERSEDED)
            expectThat(host.calls.toList()).isEqualTo(listOf("start", "start", "stop"))
        }

    @Test
    fun `a refusal at once needs no stop`() =
        runTest {
            val host = FakeTaskHost(StartOutcome.NO_ROOM.right())
            expectThat(CommandSender(host, { true }, { false }).start(call, command)).isEqualTo(StartOutcome.NO_ROOM)
            expectThat(host.calls.toList()).isEqualTo(listOf("start"))
        }

    @Test
    fun `orders of a scheduler that no longer leads are given up`() =
        runTest {
            val host = FakeTaskHost(noAnswer, noAnswer)
            var looks = 0
            expectThat(CommandSender(host, { looks++ < 2 }, { false }).start(call, command)).isNull()
        }

    @Test
    fun `nothing is started on an executor that leaves`() =
        runTest {
            val host = FakeTaskHost()
            expectThat(CommandSender(host, { true }, { true }).start(call, command)).isEqualTo(StartOutcome.UNAVAILABLE)
            expectThat(host.calls.toList()).isEqualTo(emptyList())
        }

    @Test
    fun `a start without an answer is not ordered again once the executor leaves`() =
        runTest {
            // Guards against starts seconds after the executor's word that it leaves, when calls to it fail.
            val host = FakeTaskHost(noAnswer, StartOutcome.STARTED.right())
            val orders = CommandSender(host, { true }, { host.calls.isNotEmpty() })
            expectThat(orders.start(call, command)).isEqualTo(StartOutcome.SUPERSEDED)
            expectThat(host.calls.toList()).isEqualTo(listOf("start", "stop"))
        }

    private class FakeTaskHost(
        vararg answers: Either<ExecutorFailure, StartOutcome>,
    ) : ExecutorClient {
        val calls: MutableList<String> = ArrayList()
        private val starts = ArrayDeque(answers.toList())

        override suspend fun poll(
            call: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ): Either<ExecutorFailure, ExecutorSnapshot> = ExecutorFailure.Refused("not used").left()

        override suspend fun start(
            call: ExecutorCallContext,
            command: StartCommand,
        ): Either<ExecutorFailure, StartOutcome> {
            calls += "start"
            return starts.removeFirst()
        }

        override suspend fun stop(
            call: ExecutorCallContext,
            run: TaskRun,
        ): Either<ExecutorFailure, Unit> {
            calls += "stop"
            return Unit.right()
        }

        override suspend fun throttle(
            call: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ): Either<ExecutorFailure, Unit> = Unit.right()
    }
}
