package org.greengagepass.endtoend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize

class FreePortsTest {
    @Test
    fun `no port is returned twice`() {
        // Guards against two processes of a deployment with the same port: the second one could not listen.
        expectThat((1..PORTS).map { FreePorts.next() }.toSet()).hasSize(PORTS)
    }

    private companion object {
        /** Large enough that duplicates are almost certain if returned ports are not remembered. */
        private const val PORTS = 1_000
    }
}
