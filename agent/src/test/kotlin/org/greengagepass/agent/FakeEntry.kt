/*
 * Entry for tests: accepts connections of agents, answers heartbeats, sends the grants that the test requests, and
 * keeps every message.
 */
package org.greengagepass.agent

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.PartitionNumber
import org.greengagepass.core.RequestId
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.TaskId
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FramedConnection
import org.greengagepass.protocol.connection.MessageCodec
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.greengagepass.protocol.connection.TaskCommand
import org.greengagepass.protocol.connection.TaskStart
import java.util.concurrent.CopyOnWriteArrayList

internal class Received(
    val connection: FramedConnection<EntryMessage, AgentMessage>,
    val message: AgentMessage,
)

internal class FakeEntry : AutoCloseable {
    val received = CopyOnWriteArrayList<Received>()
    val messages: List<AgentMessage> get() = received.map { it.message }
    val connections = CopyOnWriteArrayList<FramedConnection<EntryMessage, AgentMessage>>()

    @Volatile var failureDomainOut = false

    @Volatile var configurationVersion = FencingToken(1)

    @Volatile var epoch = Epoch(1)

    @Volatile var renews = true

    @Volatile var records = true
    private val scope = CoroutineScope(Dispatchers.IO)
    private val selector = SelectorManager(Dispatchers.IO)
    private val server = runBlocking { aSocket(selector).tcp().bind("127.0.0.1", 0) }
    val port: Int = (server.localAddress as InetSocketAddress).port

    /** Address that the entry announces; differs from its own when a relay is in front of it. */
    @Volatile var address: String = "127.0.0.1:$port"

    init {
        scope.launch {
            while (true) {
                val socket = server.accept()
                val connection =
                    FramedConnection(
                        socket,
                        selector,
                        MessageCodec(EntryMessage.serializer()),
                        MessageCodec(AgentMessage.serializer()),
                    )
                connection.start(scope)
                connections += connection
                launch { serve(connection) }
            }
        }
    }

    fun send(message: EntryMessage) = connections.last().send(message)

    fun dispatch(
        id: String,
        operation: String = "confirm",
        deadlineInMillis: Long = 5_000,
    ) = send(
        EntryMessage.Dispatch(
            requestId = RequestId(id),
            traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
            service = ServiceName("order"),
            operation = WorkKind(operation),
            body = "body of $id",
            deadlineAgentClock = lastHeartbeat().agentClock.plusMillis(deadlineInMillis),
            idempotent = true,
        ),
    )

    fun grant(
        starts: List<TaskStart> = emptyList(),
        commands: List<TaskCommand> = emptyList(),
        recorded: List<FencingToken> = emptyList(),
    ) = send(grantFor(lastHeartbeat(), starts, commands, recorded))

    fun lastHeartbeat() = messages.filterIsInstance<AgentMessage.Heartbeat>().last { it.workerClock != null }

    /** Waits for the first message from index [from] on that [select] maps to a value, and returns the value. */
    suspend fun <T : Any> await(
        from: Int = 0,
        select: (AgentMessage) -> T?,
    ): T =
        withTimeout(AWAIT_MILLIS) {
            var found = messages.drop(from).firstNotNullOfOrNull(select)
            while (found == null) {
                delay(POLL_MILLIS)
                found = messages.drop(from).firstNotNullOfOrNull(select)
            }
            found
        }

    suspend fun awaitReady() =
        await { (it as? AgentMessage.Heartbeat)?.takeIf { heartbeat -> heartbeat.workerClock != null } }

    suspend fun awaitAnswer(id: String) =
        await { (it as? AgentMessage.RequestAnswer)?.takeIf { answer -> answer.requestId.value == id } }.outcome

    override fun close() {
        scope.cancel()
        server.close()
        selector.close()
    }

    private suspend fun serve(connection: FramedConnection<EntryMessage, AgentMessage>) {
        while (true) {
            val message = connection.receive().getOrNull() ?: return
            received += Received(connection, message)
            when (message) {
                is AgentMessage.Hello -> connection.send(welcome())
                is AgentMessage.Heartbeat -> answer(connection, message)
                else -> Unit
            }
        }
    }

    private fun welcome() = EntryMessage.Welcome(PROTOCOL_VERSION, listOf(address), PartitionNumber(0), address)

    private fun answer(
        connection: FramedConnection<EntryMessage, AgentMessage>,
        heartbeat: AgentMessage.Heartbeat,
    ) {
        connection.send(
            EntryMessage.HeartbeatAnswer(
                sequence = heartbeat.sequence,
                configurationVersion = configurationVersion,
                failureDomainOut = failureDomainOut,
                entryAddresses = listOf(address),
                ownerAddress = address,
            ),
        )
        if (renews && heartbeat.workerClock != null) connection.send(grantFor(heartbeat))
    }

    private fun grantFor(
        heartbeat: AgentMessage.Heartbeat,
        starts: List<TaskStart> = emptyList(),
        commands: List<TaskCommand> = emptyList(),
        recorded: List<FencingToken> = emptyList(),
    ): EntryMessage.Grant {
        val clock = requireNotNull(heartbeat.workerClock)
        return EntryMessage.Grant(
            sequence = heartbeat.sequence,
            epoch = epoch,
            leaseDeadlineWorkerClock = clock.plusMillis(10_000),
            startDeadlineWorkerClock = clock.plusMillis(3_000),
            renewals = heartbeat.tasks.map { it.token },
            starts = starts,
            commands = commands,
            recorded = recorded,
        )
    }

    companion object {
        private const val AWAIT_MILLIS = 15_000L
        private const val POLL_MILLIS = 10L

        fun task(
            token: Long,
            input: String = """{"runMillis":60000,"milliCores":1000,"memoryMegabytes":100}""",
            limit: Resources = Resources(1_000, 500),
            resumeFrom: Checkpoint = Checkpoint.BEGINNING,
        ) = TaskStart(TaskId("task-$token"), FencingToken(token), WorkKind("render"), limit, resumeFrom, input)
    }
}
