/*
 * Result codes are a contract with callers: numbers must be unique, and only codes from 100 to below 200 may prove
 * "not run".
 */
package org.greengagepass.core

import io.kotest.property.Exhaustive
import io.kotest.property.checkAll
import io.kotest.property.exhaustive.enum
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo

class ResultCodeTest {
    @Test
    fun `no two codes share a number`() {
        expectThat(ResultCode.entries.map { it.number }.toSet()).hasSize(ResultCode.entries.size)
    }

    @Test
    fun `only the codes from 100 to 199 prove that nothing ran`() =
        runTest {
            checkAll(Exhaustive.enum<ResultCode>()) { code ->
                expectThat(code.provesNotRun).isEqualTo(code.number / 100 == 1)
            }
        }
}
