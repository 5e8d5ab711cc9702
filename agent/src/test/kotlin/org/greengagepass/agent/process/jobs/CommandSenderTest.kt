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
    private val context =
        ExecutorCallContext(HostIncarnation(HostId("host"), ExecutorName("executor"), 1), Epoch(1), 5_000)
    private val run = TaskRun(TaskKey(JobId("job"), 0, 0, 0), 1)
    private val command = StartCommand(run, "payload", "")
    private val noAnswer = ExecutorFailure.NoAnswer("timeout").left()

    @Test
    fun `a start without an answer is sent again`() =
        runTest {
            val executor = FakeExecutorClient(noAnswer, noAnswer, StartOutcome.STARTED.right())
            expectThat(CommandSender(executor, { true }, { false }).start(context, command))
                .isEqualTo(StartOutcome.STARTED)
            expectThat(executor.calls.toList()).isEqualTo(listOf("start", "start", "start"))
        }

    @Test
    fun `a refusal after a start without an answer counts only after a stop`() =
        runTest {
            // Guards against placing the task elsewhere while the first start may still take effect.
            val executor = FakeExecutorClient(noAnswer, StartOutcome.NO_ROOM.right())
            expectThat(CommandSender(executor, { true }, { false }).start(context, command))
                .isEqualTo(StartOutcome.SUPERSEDED)
            expectThat(executor.calls.toList()).isEqualTo(listOf("start", "start", "stop"))
        }

    @Test
    fun `an immediate refusal needs no stop`() =
        runTest {
            val executor = FakeExecutorClient(StartOutcome.NO_ROOM.right())
            expectThat(CommandSender(executor, { true }, { false }).start(context, command))
                .isEqualTo(StartOutcome.NO_ROOM)
            expectThat(executor.calls.toList()).isEqualTo(listOf("start"))
        }

    @Test
    fun `a start is abandoned when its scheduler is no longer the leader`() =
        runTest {
            val executor = FakeExecutorClient(noAnswer, noAnswer)
            var checks = 0
            expectThat(CommandSender(executor, { checks++ < 2 }, { false }).start(context, command)).isNull()
        }

    @Test
    fun `nothing is started on a draining executor`() =
        runTest {
            val executor = FakeExecutorClient()
            expectThat(CommandSender(executor, { true }, { true }).start(context, command))
                .isEqualTo(StartOutcome.UNAVAILABLE)
            expectThat(executor.calls.toList()).isEqualTo(emptyList())
        }

    @Test
    fun `a start without an answer is not sent again once the executor is draining`() =
        runTest {
            // Guards against starts that arrive seconds after the executor began to drain because earlier calls failed.
            val executor = FakeExecutorClient(noAnswer, StartOutcome.STARTED.right())
            val sender = CommandSender(executor, { true }, { executor.calls.isNotEmpty() })
            expectThat(sender.start(context, command)).isEqualTo(StartOutcome.SUPERSEDED)
            expectThat(executor.calls.toList()).isEqualTo(listOf("start", "stop"))
        }

    @Test
    fun `a start without an answer is not sent again after its lease has expired`() =
        runTest {
            // Guards against a start that takes effect once the scheduler has placed the task elsewhere.
            val executor = FakeExecutorClient(noAnswer, noAnswer, StartOutcome.STARTED.right())
            val sender = CommandSender(executor, { true }, { false }, { executor.calls.size >= 2 })
            expectThat(sender.start(context, command)).isEqualTo(StartOutcome.SUPERSEDED)
            expectThat(executor.calls.toList()).isEqualTo(listOf("start", "start", "stop"))
        }

    @Test
    fun `a start without an answer is not reported as refused once another incarnation is there`() =
        runTest {
            // Guards against another start of a task that crashes executors before its crash is reported.
            val mismatch = ExecutorFailure.IncarnationMismatch("later incarnation").left()
            val executor = FakeExecutorClient(noAnswer, mismatch)
            expectThat(CommandSender(executor, { true }, { false }).start(context, command)).isNull()
            expectThat(CommandSender(FakeExecutorClient(mismatch), { true }, { false }).start(context, command))
                .isEqualTo(StartOutcome.UNAVAILABLE)
        }

    @Test
    fun `a start that comes after its lease has expired is late`() =
        runTest {
            // Guards against starts that a paused agent reads late.
            val executor = FakeExecutorClient(StartOutcome.STARTED.right())
            expectThat(CommandSender(executor, { true }, { false }, { true }).start(context, command))
                .isEqualTo(StartOutcome.LATE)
            expectThat(executor.calls.toList()).isEqualTo(emptyList())
        }

    private class FakeExecutorClient(
        vararg answers: Either<ExecutorFailure, StartOutcome>,
    ) : ExecutorClient {
        val calls: MutableList<String> = ArrayList()
        private val starts = ArrayDeque(answers.toList())

        override suspend fun poll(
            context: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ): Either<ExecutorFailure, ExecutorSnapshot> = ExecutorFailure.Refused("not used").left()

        override suspend fun start(
            context: ExecutorCallContext,
            command: StartCommand,
        ): Either<ExecutorFailure, StartOutcome> {
            calls += "start"
            return starts.removeFirst()
        }

        override suspend fun stop(
            context: ExecutorCallContext,
            run: TaskRun,
        ): Either<ExecutorFailure, Unit> {
            calls += "stop"
            return Unit.right()
        }

        override suspend fun throttle(
            context: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ): Either<ExecutorFailure, Unit> = Unit.right()
    }
}
