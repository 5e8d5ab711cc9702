package org.greengagepass.entry.process.jobs

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.Timestamp
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.core.process.jobs.HostReport
import org.greengagepass.core.process.jobs.JobId
import org.greengagepass.core.process.jobs.JobScheduler
import org.greengagepass.core.process.jobs.JobSpecification
import org.greengagepass.core.process.jobs.JobTable
import org.greengagepass.core.process.jobs.Moment
import org.greengagepass.core.process.jobs.QueueDefinition
import org.greengagepass.core.process.jobs.QueueName
import org.greengagepass.core.process.jobs.SchedulerEffect
import org.greengagepass.core.process.jobs.SchedulerSettings
import org.greengagepass.core.process.jobs.StartOutcome
import org.greengagepass.core.process.jobs.StartResult
import org.greengagepass.core.process.jobs.StepSpecification
import org.greengagepass.core.process.jobs.StopReason
import org.greengagepass.core.process.jobs.TaskState
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.FromScheduler
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.ToScheduler
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isNotNull
import strikt.assertions.isTrue
import java.io.DataInputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket

/** Messages that a leader reads from an agent's connection after the agent has opened a newer one. */
class HostMessagesTest {
    private val server = ServerSocket(0, CONNECTIONS_MAXIMUM, InetAddress.getLoopbackAddress())
    private val connector = FrameConnector(Dispatchers.IO)
    private val scheduler = JobScheduler(SETTINGS, JobTable(), Timestamp(0))
    private val sessions = HostSessions()
    private val commands = HostCommands(scheduler, sessions)
    private val messages = HostMessages(scheduler, sessions, commands) { MOMENT }
    private val accepted = ArrayList<Socket>()
    private val old = session()
    private val new = session()
    private val task
        get() =
            scheduler.state.jobs[JOB]!!
                .tasks
                .single()

    @BeforeEach
    fun placeTask() {
        handle(old, ToScheduler.HostHello(PROTOCOL_VERSION, HOST))
        handle(old, report(pollNumber = 1))
        scheduler.callers.submit(1, JOB, QUEUE, JobSpecification("", listOf(STEP)), MOMENT)
        scheduler.tick(MOMENT, mayStart = true)
        handle(new, ToScheduler.HostHello(PROTOCOL_VERSION, HOST))
    }

    @AfterEach
    fun close() {
        connector.close()
        accepted.forEach { it.close() }
        server.close()
    }

    @Test
    fun `an answer on a replaced connection does not release a run that was started again on the newer one`() {
        // Guards against two runs: the refused command was repeated, and the repeated one has started the run.
        handle(old, ToScheduler.StartAnswered(StartResult(HOST.incarnation, task.run, StartOutcome.NO_ROOM, 1)))
        expectThat(task.state).isEqualTo(TaskState.Placed(HOST.incarnation))
    }

    @Test
    fun `the end of a host that is announced on a replaced connection does not release its runs`() {
        // Guards against the conclusion of an agent that has since restarted and had the lease extended.
        handle(old, ToScheduler.HostGone(HOST.incarnation))
        expectThat(task.state).isEqualTo(TaskState.Placed(HOST.incarnation))
    }

    @Test
    fun `a description on a replaced connection does not take the place of the newer connection`() {
        // Guards against commands that are sent on a connection that has ended.
        handle(old, ToScheduler.HostDescribed(HOST))
        expectThat(sessions.isAttached(HOST.incarnation, new)).isTrue()
    }

    @Test
    fun `a host whose agent connects for another incarnation is disconnected under the earlier one`() {
        // Guards against a host without a connection that counts as connected.
        val earlier = HOST.incarnation.copy(executor = ExecutorName("earlier"), startedAtEpochMillis = 0)
        handle(session(), ToScheduler.HostHello(PROTOCOL_VERSION, HOST.copy(incarnation = earlier)))
        expectThat(scheduler.state.hosts[HOST.incarnation]).isNotNull().get { isConnected }.isFalse()
    }

    @Test
    fun `a start is not sent once its run has been released`() {
        // Guards against a command that waited for the store while its run was placed elsewhere.
        val start =
            scheduler
                .takeBatch()!!
                .effects
                .filterIsInstance<SchedulerEffect.Start>()
                .single()
        expectThat(commands.send(start)).isTrue()
        handle(new, ToScheduler.StartAnswered(StartResult(HOST.incarnation, task.run, StartOutcome.LATE, 1)))
        expectThat(task.state).isEqualTo(TaskState.Waiting)
        expectThat(commands.send(start)).isFalse()
    }

    @Test
    fun `a start that waits for the store is not sent once its job is cancelled`() {
        // Guards against a task that starts after the cancel, or beside its stop.
        val start =
            scheduler
                .takeBatch()!!
                .effects
                .filterIsInstance<SchedulerEffect.Start>()
                .single()
        scheduler.callers.cancel(2, JOB, MOMENT)
        expectThat(commands.send(start)).isFalse()
        val stop =
            scheduler
                .takeBatch()!!
                .effects
                .filterIsInstance<SchedulerEffect.Stop>()
                .single()
        expectThat(commands.send(stop)).isTrue()
    }

    @Test
    fun `commands beyond the queue of a connection are sent when it has room`() {
        // Guards against tasks that are placed and never started, since only a new connection repeated a command.
        val stops =
            List(COMMANDS) { SchedulerEffect.Stop(HOST.incarnation, task.run.copy(number = it), StopReason.STALLED) }
        stops.forEach(commands::perform)
        val scope = CoroutineScope(Job() + Dispatchers.Default)
        new.start(scope)
        val peer = accepted.last()
        val received =
            runBlocking {
                withTimeout(CONNECT_TIMEOUT_MILLIS) {
                    val reading = async(Dispatchers.IO) { List(COMMANDS) { read(peer) } }
                    while (reading.isActive) {
                        commands.performWaiting()
                        delay(STEP_MILLIS)
                    }
                    reading.await()
                }
            }
        expectThat(received).isEqualTo(stops.map { FromScheduler.Stop(it.host, it.run) })
        scope.cancel()
    }

    @Test
    fun `commands that wait for a connection are dropped with it`() {
        // Guards against a command of an earlier connection beside the one that the scheduler has decided since.
        repeat(COMMANDS) { commands.perform(SchedulerEffect.Stop(HOST.incarnation, task.run, StopReason.STALLED)) }
        val next = session()
        handle(next, ToScheduler.HostHello(PROTOCOL_VERSION, HOST))
        commands.performWaiting()
        val scope = CoroutineScope(Job() + Dispatchers.Default)
        next.start(scope)
        val start =
            scheduler
                .takeBatch()!!
                .effects
                .filterIsInstance<SchedulerEffect.Start>()
                .single()
        commands.perform(start)
        expectThat(read(accepted.last())).isA<FromScheduler.Start>()
        scope.cancel()
    }

    private fun read(peer: Socket): FromScheduler? {
        val input = DataInputStream(peer.getInputStream())
        return MessageCodec(FromScheduler.serializer())
            .decode(ByteArray(input.readInt()).also(input::readFully))
            .getOrNull()
    }

    private fun handle(
        session: SchedulerSession,
        message: ToScheduler,
    ) = messages.handle(session, message, mayExtendLease = true)

    private fun report(pollNumber: Long) =
        ToScheduler.Report(HostReport(HOST.incarnation, pollNumber, 0, emptyList(), emptyList()))

    private fun session(): SchedulerSession =
        runBlocking {
            connector
                .connect(
                    "127.0.0.1:${server.localPort}",
                    MessageCodec(FromScheduler.serializer()),
                    MessageCodec(ToScheduler.serializer()),
                    CONNECT_TIMEOUT_MILLIS,
                ).fold({ error(it.detail) }, { it })
        }.also { accepted += server.accept() }

    private companion object {
        private const val CONNECTIONS_MAXIMUM = 8
        private const val CONNECT_TIMEOUT_MILLIS = 5_000L
        private const val STEP_MILLIS = 10L

        /** More than a connection queues. */
        private const val COMMANDS = 5_000
        private val MOMENT = Moment(Timestamp(100), 100)
        private val JOB = JobId("0123456789abcdef")
        private val SETTINGS = SchedulerSettings(leaseMillis = 5_000, leadershipMillis = 3_000, retentionMillis = 1_000)
        private val QUEUE = QueueDefinition(QueueName("queue"), ServiceName("pool"))
        private val STEP = StepSpecification(1, Resources(100, 100))
        private val HOST =
            HostDescription(
                incarnation = HostIncarnation(HostId("host"), ExecutorName("executor"), 1),
                pool = ServiceName("pool"),
                failureDomain = FailureDomainName("north"),
                rack = RackName("rack"),
                labels = emptyList(),
                capacity = Resources(16_000, 64_000),
            )
    }
}
