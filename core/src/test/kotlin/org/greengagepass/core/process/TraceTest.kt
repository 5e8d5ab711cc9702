/*
 * Replays recorded traces. Each trace covers one failure that the owner has to handle.
 */
package org.greengagepass.core.process

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TraceTest {
    /** Guards against changes of the decisions in the traces. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "lapsed-lease",
            "lost-append-answer",
            "owner-paused-and-replaced",
            "cannot-run",
            "cancellation-wave",
            "cancelled-before-start",
            "stale-owner-and-new-agent",
            "outage-allowance",
            "release-after-takeover",
            "partial-page",
            "refusal-of-a-replaced-agent",
        ],
    )
    fun `the owner makes the decisions of the trace`(name: String) {
        val text = checkNotNull(javaClass.getResource("/traces/$name.jsonl")) { "no trace $name" }.readText()
        val replay = TraceReplay()
        text.lines().forEachIndexed { index, line ->
            if (line.isNotBlank()) {
                val (expected, actual) = replay.replay(TraceReplay.parse(line))
                expectThat(actual).describedAs("$name, line ${index + 1}").isEqualTo(expected)
            }
        }
    }
}
