package org.greengagepass.endtoend

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize

class FreePortsTest {
    @Test
    fun `no port is given twice`() {
        // Guards against two processes of a deployment on one port, of which the second then never listens.
        expectThat((1..PORTS).map { FreePorts.next() }.toSet()).hasSize(PORTS)
    }

    private companion object {
        /** Without memory some of so many ports would almost certainly be the same. */
        private const val PORTS = 1_000
    }
}
