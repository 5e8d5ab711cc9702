package org.greengagepass.agent.connection

import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.supervisorScope
import kotlinx.coroutines.withTimeout
import org.greengagepass.agent.FakeEntry
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.Incarnation
import org.greengagepass.core.RackName
import org.greengagepass.core.Timestamp
import org.greengagepass.protocol.connection.AgentMessage
import org.greengagepass.protocol.connection.EntryMessage
import org.greengagepass.protocol.connection.FrameConnector
import org.greengagepass.protocol.connection.PROTOCOL_VERSION
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isTrue
import java.util.concurrent.Executors

class EntryConnectionTest {
    @Test
    fun `a message that raises an error does not end the connections to its entry`(): Unit =
        FakeEntry().use { entry ->
            val listener = FailingListener()
            Executors.newSingleThreadExecutor().asCoroutineDispatcher().use { selectorThread ->
                FrameConnector(selectorThread).use { connector ->
                    runBlocking {
                        supervisorScope {
                            val running = launch { EntryConnection(entry.address, connector, listener).run() }
                            withTimeout(TIMEOUT_MILLIS) {
                                while (listener.messages < 2 &&
                                    running.isActive
                                ) {
                                    delay(POLL_MILLIS)
                                }
                            }
                            expectThat(running.isActive).isTrue()
                            running.cancel()
                        }
                    }
                }
            }
            expectThat(listener.reasons.first()).contains("unexpected")
        }

    private class FailingListener : EntryConnectionListener {
        var messages = 0
        val reasons = ArrayList<String>()

        override val hello =
            AgentMessage.Hello(
                protocolVersion = PROTOCOL_VERSION,
                host = HostId("host"),
                incarnation = Incarnation(1),
                failureDomain = FailureDomainName("medina"),
                rack = RackName("rack"),
            )

        override fun now() = Timestamp(System.nanoTime() / NANOS_PER_MILLI)

        override fun onHeartbeatDue(connection: EntryConnection) = Unit

        override fun onMessage(
            connection: EntryConnection,
            message: EntryMessage,
        ) {
            messages += 1
            error("unexpected")
        }

        override fun onDisconnected(
            connection: EntryConnection,
            reason: String,
        ) {
            reasons += reason
        }
    }

    private companion object {
        private const val TIMEOUT_MILLIS = 60_000L
        private const val POLL_MILLIS = 10L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
