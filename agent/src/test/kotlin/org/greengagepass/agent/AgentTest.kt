/*
 * The complete agent against a fake entry and the stand-ins of the platform, over real sockets.
 */
package org.greengagepass.agent

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.RequestId
import org.greengagepass.core.ResultCode
import org.greengagepass.core.connection.Inquiry
import org.greengagepass.core.connection.InquiryResult
import org.greengagepass.core.process.ReleaseReason
import org.greengagepass.core.request.RequestOutcome
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.TaskChange
import org.greengagepass.protocol.connection.TaskCommand
import org.greengagepass.services.process.AttemptState
import org.greengagepass.standins.request.ExecutorBehaviour
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.filter
import strikt.assertions.filterIsInstance
import strikt.assertions.hasSize
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThan
import strikt.assertions.isTrue
import strikt.assertions.map
import java.io.DataOutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

class AgentTest {
    private val platform = Platform()
    private val entry = FakeEntry()

    @AfterEach
    fun close() {
        platform.close()
        entry.close()
    }

    /** Guards against lost answers and answers to the wrong request. */
    @Test
    fun `a request reaches the upstream and its complete answer is returned`() =
        withAgent {
            platform.executor.behaviour = ExecutorBehaviour(serviceMillis = 50)
            (1..20).forEach { entry.dispatch("request-$it#1") }
            (1..20).forEach { number ->
                val outcome = entry.awaitAnswer("request-$number#1")
                if (outcome is RequestOutcome.Ran) {
                    expectThat(outcome.answer.body).contains("\"requestId\":\"request-$number\"")
                    expectThat(outcome.answer.body).contains("body of request-$number#1")
                } else {
                    expectThat(outcome.code).isEqualTo(ResultCode.OVERLOADED)
                }
            }
            expectThat(platform.executor.statistics().mostInProgress).isEqualTo(2)
            expectThat(platform.executor.statistics().refused).isEqualTo(0)
        }

    /** Guards against slots that stay occupied after requests that can't be sent. */
    @Test
    fun `requests that can not be sent to the upstream release their slots`() =
        withAgent {
            (1..3).forEach { entry.dispatch("line\nbreak-$it#1") }
            (1..3).forEach { entry.awaitAnswer("line\nbreak-$it#1") }
            entry.dispatch("next#1")
            expectThat(entry.awaitAnswer("next#1")).isA<RequestOutcome.Ran>()
        }

    /** Guards against new work in a failure domain that is out of service. */
    @Test
    fun `requests and starts are refused while the failure domain is out of service`() =
        withAgent {
            entry.failureDomainOut = true
            entry.configurationVersion = FencingToken(2)
            delay(1_300)
            entry.dispatch("late#1")
            entry.grant(starts = listOf(FakeEntry.task(token = 7)))
            expectThat(entry.awaitAnswer("late#1").code).isEqualTo(ResultCode.FAILURE_DOMAIN_OUT)
            expectThat(awaitEnd(token = 7)).isEqualTo(
                TaskChange.Refused(ResultCode.FAILURE_DOMAIN_OUT, "the failure domain is out"),
            )
            expectThat(platform.worker.history(0).events).hasSize(0)
        }

    /** Guards against ends that never reach the owner. */
    @Test
    fun `the end of a task is repeated until it is recorded`() =
        withAgent {
            entry.grant(starts = listOf(FakeEntry.task(7, """{"runMillis":200,"memoryMegabytes":100}""")))
            expectThat(awaitEnd(token = 7)).isA<TaskChange.Finished>()
            delay(2_300)
            expectThat(entry.messages)
                .filterIsInstance<AgentMessage.TaskEvent>()
                .map { it.change }
                .filter { it is TaskChange.Finished }
                .get { size }
                .isGreaterThan(1)
            entry.grant(recorded = listOf(FencingToken(7)))
            delay(300)
            val messageCount = entry.messages.size
            delay(2_300)
            expectThat(entry.messages.drop(messageCount)).filterIsInstance<AgentMessage.TaskEvent>().hasSize(0)
        }

    /** Guards against the loss of evicted work. */
    @Test
    fun `an evicted task stops at a new checkpoint`() =
        withAgent {
            entry.grant(starts = listOf(FakeEntry.task(7)))
            entry.await { (it as? AgentMessage.TaskEvent)?.takeIf { event -> event.change is TaskChange.Started } }
            delay(500)
            entry.grant(commands = listOf(TaskCommand.Evict(FencingToken(7), ReleaseReason.FAILURE_DOMAIN_OUT)))
            val end = awaitEnd(token = 7)
            expectThat(end).isA<TaskChange.Stopped>().and {
                get { reason }.isEqualTo(ReleaseReason.FAILURE_DOMAIN_OUT)
                get { checkpoint.number }.isEqualTo(1)
                get { checkpoint.reference.substringAfterLast('/').toLong() }.isGreaterThan(400)
            }
        }

    /** Guards against grants of a replaced owner. */
    @Test
    fun `a grant of an earlier epoch has no effect`() =
        withAgent {
            entry.epoch = Epoch(5)
            delay(1_300)
            entry.epoch = Epoch(4)
            entry.grant(starts = listOf(FakeEntry.task(token = 7)))
            delay(500)
            expectThat(platform.worker.history(0).events).hasSize(0)
        }

    /** Guards against requests that never get an answer after a connection stops transmitting. */
    @Test
    fun `the agent answers on a new connection when the old one goes silent`() {
        val relay = Relay(entry.port)
        entry.address = "127.0.0.1:${relay.port}"
        relay.use {
            withAgent(entry.address) {
                platform.executor.behaviour = ExecutorBehaviour(serviceMillis = 4_500)
                entry.dispatch("slow#1", deadlineInMillis = 12_000)
                delay(300)
                relay.silence()
                withTimeout(5_000) { while (entry.connections.size < 2) delay(20) }
                val from = entry.messages.size
                entry.await(from) { it as? AgentMessage.Heartbeat }
                val deadline = entry.lastHeartbeat().agentClock.plusMillis(8_000)
                entry.send(EntryMessage.Inquire(listOf("slow#1", "lost#1").map { Inquiry(RequestId(it), deadline) }))
                val results = entry.await(from) { (it as? AgentMessage.InquiryAnswer)?.results }
                expectThat(results).contains(
                    InquiryResult.Running(RequestId("slow#1")),
                    InquiryResult.NeverReceived(RequestId("lost#1")),
                )
                expectThat(entry.awaitAnswer("slow#1")).isA<RequestOutcome.Ran>()
                entry.dispatch("lost#1")
                expectThat(entry.awaitAnswer("lost#1")).isA<RequestOutcome.NotRun>()
                val hellos = entry.messages.filterIsInstance<AgentMessage.Hello>()
                expectThat(hellos.map { it.incarnation }.toSet()).hasSize(1)
            }
        }
    }

    /** Guards against requests to an upstream that is stopping. */
    @Test
    fun `a draining upstream gets no new requests`(): Unit =
        runBlocking {
            val agent = platform.startAgent(entry.address)
            val announcer = platform.announcer(agent.start())
            entry.awaitReady()
            expectThat(announcer.announceDraining()).isTrue()
            entry.dispatch("late#1")
            expectThat(entry.awaitAnswer("late#1").code).isEqualTo(ResultCode.DRAINING)
        }

    /** Guards against work that is interrupted when an agent stops. */
    @Test
    fun `a stopping agent finishes requests and leaves tasks running for its successor`(): Unit =
        runBlocking {
            val agent = platform.startAgent(entry.address)
            val announcing = launch { platform.announcer(agent.start()).run() }
            entry.awaitReady()
            delay(300)
            platform.executor.behaviour = ExecutorBehaviour(serviceMillis = 1_000)
            entry.dispatch("running#1")
            entry.grant(starts = listOf(FakeEntry.task(token = 7)))
            delay(300)
            val stopping = Thread { agent.stop() }.also { it.start() }
            delay(200)
            entry.dispatch("late#1")
            expectThat(entry.awaitAnswer("late#1").code).isEqualTo(ResultCode.DRAINING)
            expectThat(entry.awaitAnswer("running#1")).isA<RequestOutcome.Ran>()
            entry.await { it as? AgentMessage.Goodbye }
            announcing.cancel()
            stopping.join()
            val messageCount = entry.messages.size
            platform.startAgent(entry.address).start()
            val tasks =
                entry.await(messageCount) {
                    (it as? AgentMessage.Heartbeat)?.tasks?.takeIf { tasks -> tasks.isNotEmpty() }
                }
            expectThat(tasks.single().checkpoint.number).isEqualTo(1)
            expectThat(
                platform.worker
                    .history(0)
                    .events
                    .map { it.state },
            ).isEqualTo(listOf(AttemptState.RUNNING))
        }

    /** Guards against two active agents on one host. */
    @Test
    fun `an agent stops when a newer one has replaced it`() =
        withAgent {
            platform.startAgent(entry.address).start()
            withTimeout(5_000) { while (platform.replacedAgents == 0) delay(20) }
        }

    /** Guards against a faulty entry or network that stops the agent or affects the host. */
    @Test
    fun `an entry that sends random bytes has no effect`(): Unit =
        ServerSocket(0, 50, InetAddress.getLoopbackAddress()).use { broken ->
            val random = Random(7)
            val connections = AtomicInteger()
            thread(isDaemon = true) {
                while (!broken.isClosed) runCatching { sendRandomFrames(broken, random, connections) }
            }
            runBlocking {
                val port = platform.startAgent("127.0.0.1:${broken.localPort}", entry.address).start()
                platform.announcer(port).run { launch { run() } }.let { announcing ->
                    entry.awaitReady()
                    withTimeout(CONNECTIONS_MILLIS) { while (connections.get() < 10) delay(20) }
                    entry.dispatch("after#1")
                    expectThat(entry.awaitAnswer("after#1")).isA<RequestOutcome.Ran>()
                    announcing.cancel()
                }
            }
            expectThat(platform.worker.history(0).events).hasSize(0)
            expectThat(
                platform.executor
                    .statistics()
                    .runs.keys,
            ).isEqualTo(setOf("after"))
        }

    private fun sendRandomFrames(
        server: ServerSocket,
        random: Random,
        connections: AtomicInteger,
    ) = server.accept().use { socket ->
        connections.incrementAndGet()
        val output = DataOutputStream(socket.getOutputStream())
        repeat(random.nextInt(1, 4)) {
            val bytes = random.nextBytes(random.nextInt(1, 200))
            if (random.nextBoolean()) output.writeInt(bytes.size)
            output.write(bytes)
        }
    }

    private fun withAgent(
        address: String = entry.address,
        block: suspend () -> Unit,
    ) = runBlocking {
        val port = platform.startAgent(address).start()
        val announcing = launch { platform.announcer(port).run() }
        entry.awaitReady()
        delay(300)
        block()
        announcing.cancel()
    }

    private suspend fun awaitEnd(token: Long): TaskChange =
        entry.await { message ->
            (message as? AgentMessage.TaskEvent)
                ?.takeIf { it.token.value == token }
                ?.change
                ?.takeIf { it !is TaskChange.Started && it !is TaskChange.Checkpointed }
        }

    private companion object {
        /** Timeout of the test. Ten connections take 8 s on an idle machine, since the agent backs off between them. */
        private const val CONNECTIONS_MILLIS = 60_000L
    }
}
