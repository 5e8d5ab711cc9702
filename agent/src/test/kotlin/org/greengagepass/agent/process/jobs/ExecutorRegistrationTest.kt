package org.greengagepass.agent.process.jobs

import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceUntilIdle
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FailureDomainName
import org.greengagepass.core.HostId
import org.greengagepass.core.RackName
import org.greengagepass.core.Resources
import org.greengagepass.core.ServiceName
import org.greengagepass.core.process.jobs.ExecutorName
import org.greengagepass.core.process.jobs.HostDescription
import org.greengagepass.core.process.jobs.HostIncarnation
import org.greengagepass.services.process.IncarnationProbe
import org.greengagepass.services.process.ProbeResult
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.containsExactly
import strikt.assertions.isEqualTo
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import strikt.assertions.isTrue

/** Heartbeats of the executor, of its earlier and later incarnations, and of other writers. */
class ExecutorRegistrationTest {
    /** The incarnation that responds at the executor's address, or null while nothing responds. */
    private var responding: HostIncarnation? = incarnation(born = 7)
    private var isFenced = false
    private var failures = 0
    private val described = ArrayList<HostDescription>()
    private val executor =
        IncarnationProbe { asked, _ ->
            when {
                responding == null || failures > 0 -> ProbeResult.Unanswered("silent").also { failures -= 1 }
                asked.executor != responding?.executor -> ProbeResult.Denied("another name")
                isFenced -> ProbeResult.Fenced
                asked == responding -> ProbeResult.Confirmed
                else -> ProbeResult.Denied("another start")
            }
        }

    @Test
    fun `a heartbeat of a stranger does not replace the executor`() =
        runTest {
            // Guards against two runs of a task: the scheduler starts the runs of a replaced executor elsewhere.
            val registration = registered()
            registration.hear(this, description(name = "stranger", born = 7))
            registration.hear(this, description(name = "stranger", born = 8))
            registration.hear(this, description(born = 8))
            expectThat(described.map { it.incarnation }).containsExactly(incarnation(born = 7))
            registration.hear(this, description(born = 7, cpu = 2_000))
            expectThat(registration.current?.capacity?.milliCores).isEqualTo(2_000)
        }

    @Test
    fun `a stranger is not registered before the executor`() =
        runTest {
            val registration = registration(this)
            registration.hear(this, description(name = "stranger", born = 9))
            expectThat(registration.current).isNull()
            registration.hear(this, description(born = 7))
            expectThat(registration.current).isNotNull()
        }

    @Test
    fun `a later incarnation replaces an earlier one under the same or another name`() =
        runTest {
            val registration = registered()
            responding = incarnation(born = 8)
            registration.hear(this, description(born = 8))
            responding = incarnation(name = "other", born = 9)
            registration.hear(this, description(name = "other", born = 9))
            expectThat(described.map { it.incarnation.startedAtEpochMillis }).containsExactly(7, 8, 9)
        }

    @Test
    fun `a delayed heartbeat of an earlier incarnation changes nothing`() =
        runTest {
            val registration = registered()
            responding = incarnation(born = 8)
            registration.hear(this, description(born = 8))
            registration.hear(this, description(born = 7))
            expectThat(registration.current?.incarnation).isEqualTo(incarnation(born = 8))
        }

    @Test
    fun `an executor that fails some calls is registered`() =
        runTest {
            failures = 2
            expectThat(registered().current).isNotNull()
        }

    @Test
    fun `an executor that answers only later is registered by a later heartbeat`() =
        runTest {
            responding = null
            val registration = registration(this)
            registration.hear(this, description(born = 7))
            expectThat(registration.current).isNull()
            responding = incarnation(born = 7)
            registration.hear(this, description(born = 7))
            expectThat(registration.current).isNotNull()
        }

    @Test
    fun `an agent that has just started registers an executor that has seen a later epoch`() =
        runTest {
            // Guards against an agent that finds no leader, as it connects to one only with an executor.
            isFenced = true
            val registration = registered()
            expectThat(registration.current).isNotNull()
            isFenced = false
            responding = incarnation(born = 6)
            registration.hear(this, description(born = 6))
            expectThat(registration.current?.incarnation).isEqualTo(incarnation(born = 6))
        }

    @Test
    fun `a claim of a name alone does not replace an executor`() =
        runTest {
            val registration = registered()
            isFenced = true
            registration.hear(this, description(born = 8))
            expectThat(registration.current?.incarnation).isEqualTo(incarnation(born = 7))
        }

    @Test
    fun `a delayed heartbeat does not bring back an executor that has deregistered`() =
        runTest {
            // Guards against placing tasks on a server that has left.
            val registration = registered()
            registration.hear(this, description(born = 7, isDraining = true))
            expectThat(registration.deregistered(NAME, null)).isEqualTo(incarnation(born = 7))
            registration.hear(this, description(born = 7))
            expectThat(registration.current?.isDraining).isEqualTo(true)
            responding = null
            registration.clear()
            registration.hear(this, description(born = 7))
            expectThat(registration.current).isNull()
            responding = incarnation(born = 8)
            registration.hear(this, description(born = 8))
            expectThat(registration.current?.incarnation).isEqualTo(incarnation(born = 8))
        }

    @Test
    fun `a delayed deregistration does not remove a later incarnation of the same name`() =
        runTest {
            val registration = registered()
            registration.hear(this, description(born = 7, isDraining = true))
            responding = incarnation(born = 8)
            registration.hear(this, description(born = 8))
            expectThat(registration.deregistered(NAME, null)).isNull()
        }

    @Test
    fun `a delayed deregistration does not remove a later incarnation of the same name that drains`() =
        runTest {
            val registration = registered()
            registration.hear(this, description(born = 7, isDraining = true))
            responding = incarnation(born = 8)
            registration.hear(this, description(born = 8, isDraining = true))
            expectThat(registration.deregistered(NAME, 7)).isNull()
            expectThat(registration.deregistered(ExecutorName("stranger"), 8)).isNull()
            expectThat(registration.deregistered(NAME, 8)).isEqualTo(incarnation(born = 8))
        }

    @Test
    fun `the latest of several heartbeats during a probe counts`() =
        runTest {
            val registration = registration(this)
            registration.onHeartbeat(description(born = 7))
            registration.onHeartbeat(description(born = 7, isDraining = true))
            advanceUntilIdle()
            expectThat(described.single().isDraining).isTrue()
        }

    private fun TestScope.registered(): ExecutorRegistration =
        registration(this).also { it.hear(this, description(born = 7)) }

    private fun registration(scope: TestScope) =
        ExecutorRegistration(executor, scope, epoch = { Epoch(1) }, onDescribed = { described += it })

    private fun ExecutorRegistration.hear(
        scope: TestScope,
        description: HostDescription,
    ) {
        onHeartbeat(description)
        scope.advanceUntilIdle()
    }

    private fun incarnation(
        name: String = NAME.value,
        born: Long,
    ) = HostIncarnation(HostId("host"), ExecutorName(name), born)

    private fun description(
        name: String = NAME.value,
        born: Long,
        cpu: Long = 4_000,
        isDraining: Boolean = false,
    ) = HostDescription(
        incarnation = incarnation(name, born),
        pool = ServiceName("pool"),
        failureDomain = FailureDomainName("zone"),
        rack = RackName("rack"),
        labels = listOf("rack"),
        capacity = Resources(cpu, 64),
        isDraining = isDraining,
    )

    private companion object {
        private val NAME = ExecutorName("executor")
    }
}
