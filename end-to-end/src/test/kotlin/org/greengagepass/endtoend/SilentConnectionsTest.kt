/*
 * Connections to an agent fall silent within a request, more of them than the agent has threads. Guards against an
 * agent that waits for the rest of those requests and answers no heartbeat any more, so that its host is never used.
 */
package org.greengagepass.endtoend

import org.greengagepass.platform.standin.StandInSettings
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import java.net.Socket

class SilentConnectionsTest {
    @Test
    fun `an executor that starts again is used although connections to its agent have fallen silent`() =
        withPlatform(hostCount = 1, entryCount = 1) { deployment, caller ->
            val host = deployment.hosts.single()
            val connections = REQUESTS.flatMap { request -> List(CONNECTIONS) { connect(host, request) } }
            host.executor.crash()
            host.executor.start()
            submit(deployment, caller, JOB, StandInSettings.job(tasks = 1, millis = 300, cpu = 500))
            awaitUntil("the job is completed") { caller.state(deployment.entries.single(), JOB) == "completed" }
            expectThat(deployment.ownEnds()).isEmpty()
            connections.forEach { it.close() }
        }

    private fun connect(
        host: PlatformHost,
        request: String,
    ): Socket {
        val (address, port) = host.announcementAddress.split(':')
        return Socket(address, port.toInt()).apply { getOutputStream().write(request.encodeToByteArray()) }
    }

    private companion object {
        private const val JOB = "5c0e7a21d94b36f8"
        private const val CONNECTIONS = 12

        /** Parts of requests, one of which ends within the body and one within the head. */
        private val REQUESTS =
            listOf(
                "POST /executors/i-1/heartbeat HTTP/1.1\r\nContent-Length: 9\r\n\r\n{",
                "POST /executors/i-1/heartbeat HTTP/1.1\r\nContent-Le",
            )
    }
}
