/*
 * Result codes in HTTP answers.
 */
package org.greengagepass.entry.request

import org.greengagepass.core.ResultCode
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo

class ApiResultTest {
    /** Guards against a body that says "not run" for work that may have run, or the reverse. */
    @Test
    fun `the outcome of each code follows from its hundreds digit`() {
        val outcomes = mapOf(0 to "ok", 1 to "notRun", 2 to "ran", 3 to "unknown", 4 to "unknown")
        ResultCode.entries.forEach { code ->
            val result = ApiError(code, "detail").toResult()
            expectThat(result.code).isEqualTo(code.number)
            expectThat(result.outcome).describedAs(code.name).isEqualTo(outcomes[code.number / HUNDRED])
        }
    }

    /** Guards against statuses that make a balancer or client library repeat work that may have run. */
    @Test
    fun `a status that makes clients retry is used only if nothing ran`() {
        val repeated = setOf(408, 429, 503)
        ResultCode.entries.filter { it.httpStatus().value in repeated }.forEach { code ->
            expectThat(code.provesNotRun).describedAs(code.name).isEqualTo(true)
        }
        ResultCode.entries.filter { it.number >= FIRST_UNKNOWN }.forEach { code ->
            expectThat(code.httpStatus().value).describedAs(code.name).isContainedIn(setOf(500, 504))
        }
    }

    private companion object {
        private const val HUNDRED = 100
        private const val FIRST_UNKNOWN = 300
    }
}
