package org.greengagepass.agent.process.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.advanceUntilIdle
import kotlinx.coroutines.test.currentTime
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
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan

/** Commands to an executor that leaves calls unanswered for some seconds. */
class CommandHandlerTest {
    private val incarnation = HostIncarnation(HostId("host"), ExecutorName("executor"), 1)
    private val sent = ArrayList<ToScheduler>()
    private val context =
        object : CommandContext {
            override val isDraining = false
            override val pollNumber = 1L
            override val lease = GrantedLease(incarnation, Epoch(1))
            override val mayBeOutdated = false

            override fun isCurrent(callContext: ExecutorCallContext) = true

            override fun hasExpired(callContext: ExecutorCallContext) = false

            override fun send(message: ToScheduler) {
                sent += message
            }
        }

    @Test
    fun `a start without an answer is not sent again once its run is to be stopped`() =
        runTest {
            // Guards against a task that starts seconds after the cancelling of its job was acknowledged.
            val executor = SilentExecutor(this)
            val handler = CommandHandler(executor, this, HostMetrics(), context) { currentTime }
            handler.start(start(index = 0), Epoch(1))
            advanceTimeBy(STOPPED_AT_MILLIS)
            handler.stop(FromScheduler.Stop(incarnation, run(index = 0)), Epoch(1))
            advanceUntilIdle()
            expectThat(executor.startTimes).all { isLessThan(STOPPED_AT_MILLIS + 1) }
            expectThat(sent).filterIsInstance<ToScheduler.StartAnswered>().hasSize(0)
            expectThat(sent).filterIsInstance<ToScheduler.StopAnswered>().hasSize(1)
        }

    @Test
    fun `a start that waits for others is not sent once its run is to be stopped`() =
        runTest {
            val executor = SilentExecutor(this)
            val handler = CommandHandler(executor, this, HostMetrics(), context) { currentTime }
            repeat(STARTS) { handler.start(start(it), Epoch(1)) }
            advanceTimeBy(STOPPED_AT_MILLIS)
            repeat(STARTS) { handler.stop(FromScheduler.Stop(incarnation, run(it)), Epoch(1)) }
            advanceUntilIdle()
            expectThat(executor.startTimes).all { isLessThan(STOPPED_AT_MILLIS + 1) }
            expectThat(sent).filterIsInstance<ToScheduler.StopAnswered>().hasSize(STARTS)
        }

    @Test
    fun `a later start of the same run after its stop is sent`() =
        runTest {
            val executor = SilentExecutor(this)
            val handler = CommandHandler(executor, this, HostMetrics(), context) { currentTime }
            handler.start(start(index = 0), Epoch(1))
            advanceTimeBy(STOPPED_AT_MILLIS)
            handler.stop(FromScheduler.Stop(incarnation, run(index = 0)), Epoch(1))
            advanceUntilIdle()
            handler.start(start(index = 0), Epoch(1))
            advanceUntilIdle()
            expectThat(
                sent
                    .filterIsInstance<ToScheduler.StartAnswered>()
                    .single()
                    .result.outcome,
            ).isEqualTo(StartOutcome.SUPERSEDED)
        }

    @Test
    fun `a stop does not wait for throttles`() =
        runTest {
            // Guards against a task of a cancelled job that works on while throttles of other runs are unanswered.
            val executor = SilentExecutor(this)
            val handler = CommandHandler(executor, this, HostMetrics(), context) { currentTime }
            repeat(STARTS) { handler.throttle(FromScheduler.Throttle(incarnation, run(it), 50), Epoch(1)) }
            handler.stop(FromScheduler.Stop(incarnation, run(STARTS)), Epoch(1))
            advanceTimeBy(1)
            expectThat(executor.inProgress).isLessThan(COMMANDS_MAXIMUM)
            advanceUntilIdle()
        }

    @Test
    fun `a throttle is not sent once a later one has come`() =
        runTest {
            // Guards against an earlier speed that replaces a later one because its call has waited.
            val executor = SilentExecutor(this)
            val handler = CommandHandler(executor, this, HostMetrics(), context) { currentTime }
            repeat(STARTS) { handler.throttle(FromScheduler.Throttle(incarnation, run(it), 50), Epoch(1)) }
            advanceTimeBy(1)
            handler.throttle(FromScheduler.Throttle(incarnation, run(STARTS - 1), 100), Epoch(1))
            advanceUntilIdle()
            expectThat(
                executor.throttles.filter { it.first == run(STARTS - 1) }.map { it.second },
            ).isEqualTo(listOf(100))
        }

    private fun run(index: Int) = TaskRun(TaskKey(JobId("job"), 0, 0, index), 1)

    private fun start(index: Int) =
        FromScheduler.Start(incarnation, StartCommand(run(index), "payload", ""), leaseUntilHostClock = 5_000)

    /** Answers no command before [ANSWERS_FROM_MILLIS]; after that a stop excludes a start. */
    private class SilentExecutor(
        private val scope: TestScope,
    ) : ExecutorClient {
        val startTimes = ArrayList<Long>()
        val throttles = ArrayList<Pair<TaskRun, Int>>()

        /** Throttles that have a call to the executor. */
        var inProgress = 0
        private val stopped = HashSet<TaskRun>()
        private val isSilent
            get() = scope.currentTime < ANSWERS_FROM_MILLIS

        override suspend fun poll(
            context: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ): Either<ExecutorFailure, ExecutorSnapshot> = ExecutorFailure.Refused("not used").left()

        override suspend fun start(
            context: ExecutorCallContext,
            command: StartCommand,
        ): Either<ExecutorFailure, StartOutcome> {
            startTimes += scope.currentTime
            if (isSilent) return silent()
            return (if (command.run in stopped) StartOutcome.SUPERSEDED else StartOutcome.STARTED).right()
        }

        override suspend fun stop(
            context: ExecutorCallContext,
            run: TaskRun,
        ): Either<ExecutorFailure, Unit> {
            if (isSilent) return silent()
            stopped += run
            return Unit.right()
        }

        override suspend fun throttle(
            context: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ): Either<ExecutorFailure, Unit> {
            if (!context.isDue()) return ExecutorFailure.Refused("no longer due").left()
            throttles += run to percent
            inProgress += 1
            return silent().also { inProgress -= 1 }
        }

        private suspend fun silent(): Either<ExecutorFailure, Nothing> {
            delay(COMMAND_TIMEOUT_MILLIS)
            return ExecutorFailure.NoAnswer("no response in time").left()
        }
    }

    private companion object {
        private const val STOPPED_AT_MILLIS = 1_000L
        private const val ANSWERS_FROM_MILLIS = 6_000L
        private const val COMMAND_TIMEOUT_MILLIS = 400L
        private const val STARTS = 100

        /** Commands that the executor is sent at a time. */
        private const val COMMANDS_MAXIMUM = 24
    }
}
