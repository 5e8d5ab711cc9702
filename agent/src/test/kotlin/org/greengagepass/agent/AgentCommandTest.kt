package org.greengagepass.agent

import com.github.ajalt.clikt.core.MissingOption
import com.github.ajalt.clikt.core.parse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class AgentCommandTest {
    private val environment =
        mapOf(
            "GREENGAGEPASS_HOST" to "host",
            "GREENGAGEPASS_FAILURE_DOMAIN" to "north",
            "GREENGAGEPASS_RACK" to "rack",
            "GREENGAGEPASS_ENTRIES" to "127.0.0.1:7200",
        )

    @Test
    fun `flags can be given as environment variables`() {
        // Guards against an agent that ignores its documented variables: only the flag without one may be missing.
        val missing = assertThrows<MissingOption> { AgentCommand(environment::get).parse(emptyList()) }
        expectThat(missing.paramName).isEqualTo("--worker")
    }
}
