package org.greengagepass.agent.process.jobs

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.process.jobs.ExecutorCrash
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.RunStatus
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
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

class CrashObserverTest {
    private val incarnation = HostIncarnation(HostId("host"), ExecutorName("executor"), startedAtEpochMillis = 7)
    private val context = ExecutorCallContext(incarnation, Epoch(1), leaseUntilHostClock = 5_000)
    private val description =
        HostDescription(
            incarnation = incarnation,
            pool = ServiceName("pool"),
            failureDomain = FailureDomainName("north"),
            rack = RackName("rack"),
            labels = emptyList(),
            capacity = Resources.NONE,
        )
    private val executor = FakeExecutor()
    private var now = 0L
    private val observer = CrashObserver(executor, clock = { now }, epochClock = { 9_000 })

    @Test
    fun `a crash reports the runs that were there and the time of their start`() =
        runTest {
            start(run(0), StartOutcome.STARTED.right(), at = 100)
            poll(run(0), at = 600)
            start(run(1), ExecutorFailure.NoAnswer("reset").left(), at = 990)
            lose(at = 1_000)
            now = 4_000
            val crash = crash()
            expectThat(crash.crashedAtEpochMillis).isEqualTo(6_000)
            expectThat(crash.runs.associate { it.run to crash.ageMillis(it) })
                .isEqualTo(mapOf(run(0) to 900, run(1) to 10))
        }

    @Test
    fun `a run whose start was refused, that ended, or that was sent to a dead executor is not blamed`() =
        runTest {
            // Guards against suspecting tasks that were not on the executor when it crashed.
            start(run(0), StartOutcome.NO_ROOM.right(), at = 10)
            start(run(1), StartOutcome.STARTED.right(), at = 20)
            poll(at = 500)
            lose(at = 1_000)
            start(run(2), ExecutorFailure.Refused("not connected").left(), at = 1_100)
            expectThat(crash().runs).isEmpty()
        }

    @Test
    fun `the answer of a later incarnation does not clear the runs of the one that crashed`() =
        runTest {
            // Guards against an empty report if a poll reaches the new executor before its first heartbeat.
            start(run(0), StartOutcome.STARTED.right(), at = 100)
            lose(at = 200)
            executor.snapshot = snapshot(emptyList(), startedAtEpochMillis = 8).right()
            observer.poll(context, 0, 0)
            expectThat(crash().runs.map { it.run })
                .isEqualTo(listOf(run(0)))
        }

    @Test
    fun `an executor that had announced its end has not crashed`() =
        runTest {
            start(run(0), StartOutcome.STARTED.right(), at = 100)
            expectThat(observer.replaced(description.copy(isDraining = true))).isFalse()
            expectThat(observer.crashes).isEmpty()
        }

    private fun crash(): ExecutorCrash {
        expectThat(observer.replaced(description)).isTrue()
        return observer.crashes.single()
    }

    private fun run(index: Int) = TaskRun(TaskKey(JobId("job"), 0, 0, index), 1)

    private suspend fun start(
        run: TaskRun,
        result: Either<ExecutorFailure, StartOutcome>,
        at: Long,
    ) {
        now = at
        executor.startResult = result
        observer.start(context, StartCommand(run, "", ""))
    }

    private suspend fun poll(
        vararg running: TaskRun,
        at: Long,
    ) {
        now = at
        executor.snapshot = snapshot(running.toList(), startedAtEpochMillis = 7).right()
        observer.poll(context, 0, 0)
    }

    private suspend fun lose(at: Long) {
        now = at
        executor.snapshot = ExecutorFailure.Refused("not connected").left()
        observer.poll(context, 0, 0)
    }

    private fun snapshot(
        running: List<TaskRun>,
        startedAtEpochMillis: Long,
    ) = ExecutorSnapshot(now, startedAtEpochMillis, running.map { RunStatus(it, "", 100, 0) }, emptyList(), true)

    private class FakeExecutor : ExecutorClient {
        var startResult: Either<ExecutorFailure, StartOutcome> = StartOutcome.STARTED.right()
        var snapshot: Either<ExecutorFailure, ExecutorSnapshot> = ExecutorFailure.Refused("not connected").left()

        override suspend fun poll(
            context: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ) = snapshot

        override suspend fun start(
            context: ExecutorCallContext,
            command: StartCommand,
        ) = startResult

        override suspend fun stop(
            context: ExecutorCallContext,
            run: TaskRun,
        ) = Unit.right()

        override suspend fun throttle(
            context: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ) = Unit.right()
    }
}
