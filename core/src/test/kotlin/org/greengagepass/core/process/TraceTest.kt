/*
 * Replays recorded traces, each of which stands for a failure that the owner has to handle.
 */
package org.greengagepass.core.process

import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import strikt.api.expectThat
import strikt.assertions.isEqualTo

class TraceTest {
    /** Guards against changes of decisions that the traces state. */
    @ParameterizedTest
    @ValueSource(
        strings = [
            "lapsed-lease",
            "lost-append-answer",
            "owner-paused-and-replaced",
            "cannot-run",
            "cancellation-wave",
            "stale-owner-and-new-agent",
            "outage-allowance",
            "release-after-takeover",
            "partial-page",
            "refusal-of-a-replaced-agent",
        ],
    )
    fun `the owner decides as the trace states`(name: String) {
        val text = checkNotNull(javaClass.getResource("/traces/$name.jsonl")) { "no trace $name" }.readText()
        val replay = TraceReplay()
        text.lines().forEachIndexed { index, line ->
            if (line.isNotBlank()) {
                val (stated, happened) = replay.replay(TraceReplay.parse(line))
                expectThat(happened).describedAs("$name, line ${index + 1}").isEqualTo(stated)
            }
        }
    }
}
