/*
 * Selection of entries by an agent, its view of the failure domain, and the spans of its requests.
 */
package org.greengagepass.agent.connection

import org.greengagepass.agent.process.Span
import org.greengagepass.agent.version.FailureDomainView
import org.greengagepass.core.FencingToken
import org.greengagepass.core.HostId
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.hasSize
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThanOrEqualTo
import strikt.assertions.isNotEqualTo
import strikt.assertions.isTrue
import kotlin.random.Random

class EntrySelectionTest {
    private val entries = (1..40).map { "10.0.0.$it:7000" }

    /** Guards against an agent that its owner can't reach, and against connections to all 40 entries. */
    @Test
    fun `the owner and three others are selected`() {
        val selection = EntrySelection(HostId("host-1"), entries.take(2))
        selection.update(source = entries[0], addresses = entries, owner = entries[39])
        expectThat(selection.targets()).hasSize(4).contains(entries[39])
    }

    /** Guards against many new connections when one entry is removed. */
    @Test
    fun `a removed entry changes at most one connection per host and hosts are spread over entries`() {
        val selected = (1..200).map { EntrySelection(HostId("host-$it"), entries).targets() }
        val afterLoss = (1..200).map { EntrySelection(HostId("host-$it"), entries.drop(1)).targets() }
        selected.zip(afterLoss).forEach { (before, after) -> expectThat((after - before).size).isLessThanOrEqualTo(1) }
        expectThat(
            selected
                .flatten()
                .groupingBy { it }
                .eachCount()
                .values
                .max(),
        ).isLessThanOrEqualTo(60)
    }

    /** Guards against an entry with an old configuration that returns a failure domain to service. */
    @Test
    fun `an older configuration does not change the failure domain`() {
        val view = FailureDomainView()
        view.observe(FencingToken(5), out = true)
        view.observe(FencingToken(4), out = false)
        expectThat(view.isOut).isTrue()
    }

    /** Guards against traces that are interrupted at the agent. */
    @Test
    fun `a span continues the trace of its parent`() {
        val span = Span("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", Random(1))
        expectThat(span.traceId).isEqualTo("0af7651916cd43dd8448eb211c80319c")
        expectThat(span.parentSpanId).isEqualTo("b7ad6b7169203331")
        expectThat(span.spanId).isNotEqualTo(span.parentSpanId)
        expectThat(Span("broken", Random(1)).traceparent.length).isEqualTo(span.traceparent.length)
    }
}
