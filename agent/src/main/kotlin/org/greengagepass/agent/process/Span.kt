/*
 * The agent's span of a request, in the terms of the W3C trace context.
 */
package org.greengagepass.agent.process

import kotlin.random.Random

private const val SPAN_ID_DIGITS = 16
private const val TRACE_ID_DIGITS = 32
private const val HEXADECIMAL = 16
private const val NANOS_PER_MICRO = 1_000L

/** A span that began when it was made, as a child of the span in [parent]. */
internal class Span(
    parent: String,
    random: Random,
) {
    private val parentParts = parent.split('-').takeIf { it.size >= PARTS && it[1].length == TRACE_ID_DIGITS }
    private val startedAtNanos = System.nanoTime()

    /** Trace that the span belongs to; a new one if the parent is not valid. */
    val traceId: String = parentParts?.get(1) ?: (hexadecimal(random) + hexadecimal(random))

    /** Span of the process that sent the request; empty if it sent none. */
    val parentSpanId: String = parentParts?.get(2).orEmpty()

    /** This span. */
    val spanId: String = hexadecimal(random)

    /** Header for the next hop. */
    val traceparent: String = "00-$traceId-$spanId-${parentParts?.get(FLAGS) ?: "01"}"

    /** Wall-clock start, for display only. */
    val startedAtEpochMillis: Long = System.currentTimeMillis()

    /** Time since the start. */
    fun durationMicros(): Long = (System.nanoTime() - startedAtNanos) / NANOS_PER_MICRO

    private companion object {
        private const val PARTS = 4
        private const val FLAGS = 3

        private fun hexadecimal(random: Random): String =
            random
                .nextLong()
                .toULong()
                .toString(HEXADECIMAL)
                .padStart(SPAN_ID_DIGITS, '0')
    }
}
