package org.greengagepass.agent.process.jobs

import arrow.core.Either
import arrow.core.left
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.StartCommand
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.TaskKey
import org.greengagepass.core.process.jobs.TaskRun
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.ToScheduler
import org.greengagepass.services.process.ExecutorCallContext
import org.greengagepass.services.process.ExecutorClient
import org.greengagepass.services.process.ExecutorFailure
import org.greengagepass.services.process.ExecutorSnapshot
import org.greengagepass.services.process.IncarnationProbe
import org.greengagepass.services.process.LeaderDirectory
import org.greengagepass.services.process.ProbeResult
import org.greengagepass.services.process.StateStore
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.all
import strikt.assertions.isLessThan
import strikt.assertions.isNotEmpty
import java.lang.reflect.Proxy
import java.net.InetAddress
import java.net.ServerSocket

/** Starts that an executor leaves unanswered while the connection to the leader changes. */
class HostSupervisorTest {
    private val server = ServerSocket(0, 8, InetAddress.getLoopbackAddress())
    private val connector = FrameConnector(Dispatchers.IO)

    /** How long the process has stood still: its clock has gone on, and its timers have not. */
    private var suspendedMillis = 0L

    @AfterEach
    fun close() {
        connector.close()
        server.close()
    }

    @Test
    fun `a start is not repeated over a later connection to the same leader`() =
        runTest {
            // Guards against a task that starts after a cancel: the stop was not sent while there was no connection.
            val executor = SilentExecutor(this)
            val supervisor = connectedSupervisor(executor)
            supervisor.onMessage(START)
            advanceTimeBy(STARTED_MILLIS)
            supervisor.onDisconnected()
            supervisor.onConnected(EPOCH, LEADER, connection())
            val reconnectedAt = currentTime
            advanceTimeBy(OBSERVED_MILLIS)
            expectThat(executor.startTimes).isNotEmpty().all { isLessThan(reconnectedAt + 1) }
        }

    @Test
    fun `a start is not repeated before what arrived during a suspension is read`() =
        runTest {
            // Guards against a task that starts after a cancel whose stop waits in the connection of a resumed agent.
            val executor = SilentExecutor(this)
            val supervisor = connectedSupervisor(executor)
            supervisor.onMessage(START)
            advanceTimeBy(STARTED_MILLIS)
            suspendedMillis = SUSPENDED_MILLIS
            val resumedAt = currentTime
            advanceTimeBy(READ_AFTER_MILLIS)
            supervisor.onMessage(FromScheduler.Pong(true))
            advanceTimeBy(READ_AFTER_MILLIS)
            supervisor.onMessage(FromScheduler.Stop(INCARNATION, RUN))
            advanceTimeBy(OBSERVED_MILLIS)
            expectThat(executor.startTimes).isNotEmpty().all { isLessThan(resumedAt) }
        }

    @Test
    fun `a start is repeated after a suspension without a stop`() =
        runTest {
            val executor = SilentExecutor(this)
            val supervisor = connectedSupervisor(executor)
            supervisor.onMessage(START)
            advanceTimeBy(STARTED_MILLIS)
            suspendedMillis = SUSPENDED_MILLIS
            val resumedAt = currentTime
            supervisor.onMessage(FromScheduler.Pong(true))
            advanceTimeBy(STARTED_MILLIS)
            expectThat(executor.startTimes.filter { it > resumedAt }).isNotEmpty()
        }

    private fun TestScope.connectedSupervisor(executor: ExecutorClient): HostSupervisor {
        val supervisor =
            HostSupervisor(
                executorClient = executor,
                probe = IncarnationProbe { _, _ -> ProbeResult.Confirmed },
                directory = LeaderDirectory(unusedStore()),
                seedAddresses = emptyList(),
                context = HostContext(backgroundScope, HostMetrics()) { currentTime + suspendedMillis },
            )
        supervisor.registration.onHeartbeat(DESCRIPTION)
        runCurrent()
        supervisor.onConnected(EPOCH, LEADER, connection())
        return supervisor
    }

    private fun connection(): FramedConnection<ToScheduler, FromScheduler> =
        runBlocking {
            val address = "127.0.0.1:${server.localPort}"
            val outgoing = MessageCodec(ToScheduler.serializer())
            connector.connect(address, outgoing, MessageCodec(FromScheduler.serializer()), CONNECT_TIMEOUT_MILLIS)
        }.fold({ error(it.detail) }, { it })

    private fun unusedStore(): StateStore =
        Proxy.newProxyInstance(javaClass.classLoader, arrayOf(StateStore::class.java)) { _, method, _ ->
            error("${method.name} is not used")
        } as StateStore

    /** Answers no call. */
    private class SilentExecutor(
        private val scope: TestScope,
    ) : ExecutorClient {
        val startTimes = ArrayList<Long>()

        override suspend fun poll(
            context: ExecutorCallContext,
            acknowledgedEnds: Long,
            waitMillis: Long,
        ): Either<ExecutorFailure, ExecutorSnapshot> = silent()

        override suspend fun start(
            context: ExecutorCallContext,
            command: StartCommand,
        ): Either<ExecutorFailure, StartOutcome> {
            startTimes += scope.currentTime
            return silent()
        }

        override suspend fun stop(
            context: ExecutorCallContext,
            run: TaskRun,
        ): Either<ExecutorFailure, Unit> = silent()

        override suspend fun throttle(
            context: ExecutorCallContext,
            run: TaskRun,
            percent: Int,
        ): Either<ExecutorFailure, Unit> = silent()

        private suspend fun silent(): Either<ExecutorFailure, Nothing> {
            delay(COMMAND_TIMEOUT_MILLIS)
            return ExecutorFailure.NoAnswer("no response in time").left()
        }
    }

    private companion object {
        private const val CONNECT_TIMEOUT_MILLIS = 5_000L
        private const val COMMAND_TIMEOUT_MILLIS = 400L
        private const val STARTED_MILLIS = 900L
        private const val OBSERVED_MILLIS = 4_000L
        private const val SUSPENDED_MILLIS = 3_000L

        /** Several messages are read within the interval of the repetition. */
        private const val READ_AFTER_MILLIS = 70L
        private const val LEADER = "leader:1"
        private val EPOCH = Epoch(1)
        private val INCARNATION = HostIncarnation(HostId("host"), ExecutorName("executor"), 1)
        private val RUN = TaskRun(TaskKey(JobId("0123456789abcdef"), 0, 0, 0), 1)
        private val START = FromScheduler.Start(INCARNATION, StartCommand(RUN, "payload", ""), 5_000)
        private val DESCRIPTION =
            HostDescription(
                incarnation = INCARNATION,
                pool = ServiceName("pool"),
                failureDomain = FailureDomainName("north"),
                rack = RackName("rack"),
                labels = emptyList(),
                capacity = Resources(1_000, 1_000),
            )
    }
}
