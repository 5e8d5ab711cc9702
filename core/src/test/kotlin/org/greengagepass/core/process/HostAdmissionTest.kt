/*
 * The capacity of a host (G1) in random histories with wrong sizes, competing owners, restarts of the agent, lost
 * answers of the worker, and starts that are duplicated or late.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.Epoch
import org.greengagepass.core.FencingToken
import org.greengagepass.core.Resources
import org.greengagepass.core.ResultCode
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isFalse
import strikt.assertions.isTrue

private const val SEED = 20_261_204L
private const val HISTORIES = 600
private val CAPACITY = Resources(milliCores = 16_000, memoryMegabytes = 60_000)
private val RESERVE = Resources(milliCores = 2_000, memoryMegabytes = 4_000)
private val SMALL = Resources(milliCores = 1_000, memoryMegabytes = 1_000)
private val DEADLINE = Timestamp(3_000)

class HostAdmissionTest {
    @Test
    fun `limits on the worker never exceed the capacity less the reserve in any history`() =
        runTest {
            checkAll(PropTestConfig(seed = SEED, iterations = HISTORIES), Arb.long()) { historySeed ->
                val model = HostAdmissionSimulation(CAPACITY, RESERVE, historySeed)
                repeat(times = 150) {
                    model.step()
                    expectThat((model.limitsOnWorker + RESERVE).fitsIn(CAPACITY)).isTrue()
                    expectThat(model.overlappingTokens.size).isEqualTo(0)
                }
            }
        }

    @Test
    fun `nothing is admitted before the first snapshot of the worker, so a restart can't overcommit the host`() {
        val admission = HostAdmission(RESERVE)
        expectThat(admission.admit(start(token = 1)).leftOrNull()?.code).isEqualTo(ResultCode.HOST_FULL)
        admission.apply(snapshot(clock = 0))
        expectThat(admission.admit(start(token = 2)).isRight()).isTrue()
    }

    @Test
    fun `a start with a lost answer keeps its capacity until a snapshot after its deadline`() {
        val admission = ready()
        admission.admit(start(token = 1))
        admission.startAnswered(FencingToken(1), StartAnswer.Lost)
        val refusal = AdmissionRefusal(ResultCode.STALE_PERMISSION, "late")
        expectThat(admission.startAnswered(FencingToken(1), StartAnswer.Refused(refusal))).isFalse()
        admission.apply(snapshot(clock = DEADLINE.millis))
        expectThat(admission.committedLimits).isEqualTo(SMALL)
        admission.apply(snapshot(clock = DEADLINE.millis + 1))
        expectThat(admission.committedLimits).isEqualTo(Resources.NONE)
    }

    @Test
    fun `a snapshot older than one already applied does not free capacity`() {
        val admission = ready()
        admission.apply(snapshot(clock = 100, attempt(token = 1)))
        expectThat(admission.apply(snapshot(clock = 99))).isFalse()
        expectThat(admission.committedLimits).isEqualTo(SMALL)
    }

    @Test
    fun `an owner of a lower epoch is refused, so a replaced owner starts nothing`() {
        val admission = ready()
        admission.admit(start(token = 1, epoch = 2))
        expectThat(admission.admit(start(token = 2, epoch = 1)).leftOrNull()?.code).isEqualTo(ResultCode.NOT_OWNER)
    }

    @Test
    fun `a late start of an earlier attempt is refused after a later one ended`() {
        val admission = ready()
        admission.apply(snapshot(clock = 1, attempt(token = 5, holdsCapacity = false)))
        val late = admission.admit(start(token = 4, task = "task-5"))
        expectThat(late.leftOrNull()?.code).isEqualTo(ResultCode.STALE_PERMISSION)
    }

    @Test
    fun `a refusal is final for its token, because its owner may have assigned the task elsewhere`() {
        val admission = ready()
        val large = start(token = 1).copy(limit = CAPACITY)
        admission.admit(large)
        val repeat = admission.admit(large.copy(limit = SMALL))
        expectThat(repeat.leftOrNull()?.code).isEqualTo(ResultCode.HOST_FULL)
    }

    @Test
    fun `a duplicated start is not treated as refused, so that a running attempt is not reported as not run`() {
        val admission = ready()
        admission.admit(start(token = 1, epoch = 1))
        admission.checkEpoch(Epoch(2))
        expectThat(admission.admit(start(token = 1, epoch = 1)).getOrNull())
            .isEqualTo(StartAdmission.AlreadyAdmitted)
    }

    private fun ready() = HostAdmission(RESERVE).also { it.apply(snapshot(clock = 0)) }

    private fun start(
        token: Long,
        epoch: Long = 1,
        task: String = "task-$token",
    ) = StartRequest(Epoch(epoch), TaskId(task), FencingToken(token), SMALL, DEADLINE)

    private fun attempt(
        token: Long,
        holdsCapacity: Boolean = true,
    ) = ReportedAttempt(TaskId("task-$token"), FencingToken(token), SMALL, holdsCapacity)

    private fun snapshot(
        clock: Long,
        vararg attempts: ReportedAttempt,
    ) = WorkerSnapshot(Timestamp(clock), CAPACITY, attempts.toList())
}
