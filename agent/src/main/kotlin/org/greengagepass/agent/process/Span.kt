/*
 * The agent's span of a request, in W3C trace context format.
 */
package org.greengagepass.agent.process

import kotlin.random.Random

private const val SPAN_ID_DIGITS = 16
private const val TRACE_ID_DIGITS = 32
private const val HEXADECIMAL_RADIX = 16
private const val NANOS_PER_MICRO = 1_000L

/** Span that starts when it is created, as a child of the span in the traceparent header [parent]. */
internal class Span(
    parent: String,
    random: Random,
) {
    private val parentParts = parent.split('-').takeIf { it.size >= PARTS && it[1].length == TRACE_ID_DIGITS }
    private val startedAtNanos = System.nanoTime()

    /** Identifier of the trace; a new one if the parent is not valid. */
    val traceId: String = parentParts?.get(1) ?: (randomHexadecimal(random) + randomHexadecimal(random))

    /** Identifier of the sender's span; empty if the sender has none. */
    val parentSpanId: String = parentParts?.get(2).orEmpty()

    /** Identifier of this span. */
    val spanId: String = randomHexadecimal(random)

    /** Value of the traceparent header for the next hop. */
    val traceparent: String = "00-$traceId-$spanId-${parentParts?.get(FLAGS) ?: "01"}"

    /** Start by the wall clock, for display only. */
    val startedAtEpochMillis: Long = System.currentTimeMillis()

    /** Returns the time since the start. */
    fun durationMicros(): Long = (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO

    private companion object {
        private const val PARTS = 4
        private const val FLAGS = 3

        private fun randomHexadecimal(random: Random): String =
            random
                .nextLong()
                .toULong()
                .toString(HEXADECIMAL_RADIX)
                .padStart(SPAN_ID_DIGITS, '0')
    }
}
