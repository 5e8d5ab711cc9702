package org.greengagepass.agent.process.jobs

import arrow.core.Either
import arrow.core.right
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.HostId
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isNotEmpty

class ExecutorPollerTest {
    private val lease =
        GrantedLease(HostIncarnation(HostId("host"), ExecutorName("executor"), startedAtEpochMillis = 7), Epoch(1))

    @Test
    fun `what a later incarnation under the same name holds is not reported as the earlier one's`() =
        runTest {
            // Guards against a leader that takes the runs of the earlier incarnation for ended or not started.
            expectThat(reports(startedAtEpochMillis = 8)).isEmpty()
        }

    @Test
    fun `snapshots of the incarnation, and those without a start time, are reported`() =
        runTest {
            expectThat(reports(startedAtEpochMillis = 7)).isNotEmpty()
            expectThat(reports(startedAtEpochMillis = null)).isNotEmpty()
        }

    private suspend fun reports(startedAtEpochMillis: Long?): List<HostReport> {
        val reports = ArrayList<HostReport>()
        val poller = ExecutorPoller(PolledExecutor(startedAtEpochMillis), sendReport = { reports += it })
        coroutineScope {
            var isCurrent = true
            val polling = launch { poller.run(lease) { isCurrent } }
            delay(OBSERVED_MILLIS)
            isCurrent = false
            polling.join()
        }
        return reports
    }

    private class PolledExecutor(
        private val startedAtEpochMillis: Long?,
    ) : ExecutorClient {
        override suspend fun poll(
            context: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ): Either<ExecutorFailure, ExecutorSnapshot> {
            delay(waitMillis)
            return ExecutorSnapshot(0, startedAtEpochMillis, emptyList(), emptyList(), listsAllEnds = true).right()
        }

        override suspend fun start(
            context: ExecutorCallContext,
            command: StartCommand,
        ): Either<ExecutorFailure, StartOutcome> = StartOutcome.STARTED.right()

        override suspend fun stop(
            context: ExecutorCallContext,
            run: TaskRun,
        ): Either<ExecutorFailure, Unit> = Unit.right()

        override suspend fun throttle(
            context: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ): Either<ExecutorFailure, Unit> = Unit.right()
    }

    private companion object {
        private const val OBSERVED_MILLIS = 2_000L
    }
}
