package org.greengagepass.core.process.jobs

import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEmpty
import strikt.assertions.isEqualTo

/** Messages about an incarnation of a host that arrive after it has ended or begun to drain. */
class OutdatedHostMessagesTest {
    private val first = incarnation("first")
    private val later = incarnation("first", number = 2)
    private val harness = SchedulerHarness()

    @Test
    fun `a delayed message of an earlier incarnation does not bring it back`() {
        // Guards against placing tasks on an executor that has ended, where they wait for its lease to expire.
        harness.connect(description(later), 0)
        harness.scheduler.hosts.descriptionChanged(description(first), moment(10))
        harness.report(first, 20)
        expectThat(
            harness.scheduler.state.hosts
                .all()
                .map { it.incarnation },
        ).isEqualTo(listOf(later))
    }

    @Test
    fun `a delayed message of an executor that has deregistered does not bring it back`() {
        harness.connect(description(first).copy(isDraining = true), 0)
        harness.scheduler.hosts.incarnationEnded(first, IncarnationEnd.DEREGISTERED, moment(10))
        harness.connect(description(first), 20)
        harness.submit("job", specification(step()), 20)
        expectThat(harness.starts(30)).isEmpty()
    }

    @Test
    fun `an executor that states no start is used although an earlier one without a start has deregistered`() {
        // Guards against a host that stays unused because starts that are not stated look equal.
        val unstated = first.copy(startedAtEpochMillis = 0)
        harness.connect(description(unstated), 0)
        harness.scheduler.hosts.incarnationEnded(unstated, IncarnationEnd.DEREGISTERED, moment(10))
        val next = unstated.copy(executor = ExecutorName("next"))
        harness.connect(description(next), 20)
        harness.submit("job", specification(step()), 20)
        expectThat(harness.starts(30).map { it.host }).isEqualTo(listOf(next))
    }

    @Test
    fun `a host that has connected again after its lease expired is used again`() {
        // Guards against taking a host for gone that was only cut off.
        harness.connect(description(first), 0)
        harness.scheduler.hosts.disconnected(first)
        val expired = SETTINGS.leaseBoundMillis + 100
        harness.effects(expired)
        harness.connect(description(first), expired + 10)
        harness.submit("job", specification(step()), expired + 10)
        expectThat(harness.starts(expired + 20).map { it.host }).isEqualTo(listOf(first))
    }

    @Test
    fun `an outdated claim that a draining host is ready does not let tasks start there`() {
        // Guards against an agent that has restarted and hears a delayed announcement first.
        harness.connect(description(first).copy(isDraining = true), 0)
        harness.scheduler.hosts.disconnected(first)
        harness.connect(description(first), 100)
        harness.submit("job", specification(step()), 100)
        expectThat(harness.starts(110)).isEmpty()
    }
}
