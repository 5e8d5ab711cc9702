/*
 * Bodies of calls: any input gives a value or a numbered error with a sentence, never an exception.
 */
package org.greengagepass.entry.request

import arrow.core.Either
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlinx.coroutines.runBlocking
import org.greengagepass.core.ResultCode
import org.greengagepass.entry.version.ProfileBody
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isContainedIn
import strikt.assertions.isEqualTo
import strikt.assertions.isNotBlank

private const val VALID = """{"team":"t","profile":"p","kind":"k","milliCores":500,"input":"{\"a\":1}"}"""

class JsonBodiesTest {
    /** Guards against bytes that crash the call instead of being refused. */
    @Test
    fun `random bytes give a numbered error`() =
        runBlocking<Unit> {
            checkAll(
                Arb.byteArray(Arb.int(0..200), Arb.byte()),
            ) { bytes -> expectRefusedOrRead(bytes.decodeToString()) }
        }

    /** Guards against failures by nearly valid bodies, as a faulty client sends them. */
    @Test
    fun `mutated bodies give a value or a numbered error`() =
        runBlocking<Unit> {
            checkAll(Arb.int(VALID.indices), Arb.int(0..255), Arb.int(0..3)) { index, byte, kind ->
                val character = byte.toChar()
                val text =
                    when (kind) {
                        0 -> VALID.replaceRange(index, index + 1, character.toString())
                        1 -> VALID.removeRange(index, index + 1)
                        2 -> VALID.take(index)
                        else -> VALID.replaceRange(index, index, VALID.drop(index))
                    }
                expectRefusedOrRead(text)
            }
        }

    /** Guards against a mistyped field that is silently ignored. */
    @Test
    fun `the error for an unknown field has its own code and names the field`() {
        val error = decodeJson(TaskBody.serializer(), VALID.replace("milliCores", "milicores")).leftOrNull()
        expectThat(error?.code).isEqualTo(ResultCode.UNKNOWN_FIELD)
        expectThat(error?.detail.orEmpty()).contains("milicores")
    }

    /** Guards against replacing wrong types, missing fields and unknown values by defaults. */
    @Test
    fun `wrong types, missing fields and unknown values are malformed`() {
        listOf(
            VALID.replace("500", "\"many\""),
            VALID.replace("500", "5e400"),
            VALID.replace("500", "99999999999999999999"),
            VALID.replace("\"team\":\"t\",", ""),
            VALID.replace("\"t\"", "null"),
            "[]",
            "",
        ).forEach { text ->
            expectThat(codeOf(decodeJson(TaskBody.serializer(), text))).isEqualTo(ResultCode.MALFORMED)
        }
        val profile = decodeJson(ProfileBody.serializer(), """{"serviceClass":"FAST"}""")
        expectThat(codeOf(profile)).isEqualTo(ResultCode.MALFORMED)
    }

    private fun expectRefusedOrRead(text: String) {
        val error = decodeJson(TaskBody.serializer(), text).leftOrNull() ?: return
        expectThat(
            error.code,
        ).isContainedIn(setOf(ResultCode.MALFORMED, ResultCode.UNKNOWN_FIELD, ResultCode.INVALID_VALUE))
        expectThat(error.detail).isNotBlank()
    }

    private fun codeOf(result: Either<ApiError, Any>): ResultCode? = result.leftOrNull()?.code
}
