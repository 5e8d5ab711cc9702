/*
 * The worker stand-in refuses the calls that the worker's interface forbids. Tests of the scheduler rely on this: a
 * stand-in that accepts too much would hide tasks that run twice.
 */
package org.greengagepass.standins.process

import org.greengagepass.core.FencingToken
import org.greengagepass.core.Incarnation
import org.greengagepass.core.Resources
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.greengagepass.core.process.Checkpoint
import org.greengagepass.services.process.AttemptState
import org.greengagepass.services.process.RefusalReason
import org.greengagepass.services.process.RenewBody
import org.greengagepass.services.process.ThrottleBody
import org.greengagepass.services.process.WorkerStart
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isTrue

private val NEW = Incarnation(2)
private val OLD = Incarnation(1)
private const val INPUT = """{"runMillis":1000,"milliCores":1000,"memoryMegabytes":100}"""

class SimulatedWorkerTest {
    private val worker =
        SimulatedWorker("w", Resources(2_000, 1_000), usageLagMillis = 500).also { it.attach(NEW, Timestamp(0)) }

    /** Guards against an agent that still controls the worker after it was replaced. */
    @Test
    fun `calls of an older incarnation are refused`() {
        expectThat(worker.attach(OLD, Timestamp(0)).leftOrNull()?.reason).isEqualTo(RefusalReason.STALE_INCARNATION)
        expectThat(worker.start(OLD, start(1), Timestamp(0)).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.STALE_INCARNATION)
    }

    /** Guards against a late start of an earlier attempt, also after the worker has removed that attempt. */
    @Test
    fun `a token that is not higher than all earlier tokens of its task is refused`() {
        worker.start(NEW, start(5), Timestamp(0))
        worker.stop(NEW, FencingToken(5), Timestamp(10))
        worker.forget(NEW, listOf(FencingToken(5)), Timestamp(20))
        listOf(4L, 5L).forEach { token ->
            expectThat(worker.start(NEW, start(token), Timestamp(30)).leftOrNull()?.reason)
                .isEqualTo(RefusalReason.STALE_TOKEN)
        }
        expectThat(worker.start(NEW, start(6), Timestamp(40)).isRight()).isTrue()
    }

    /** Guards against late starts by a paused owner or agent or from a delayed message. */
    @Test
    fun `a start after its deadline is refused`() {
        expectThat(worker.start(NEW, start(1), Timestamp(3_000)).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.DEADLINE_PASSED)
    }

    /** Guards against attempts whose limits exceed the capacity of the host. */
    @Test
    fun `a start that exceeds the free capacity is refused`() {
        worker.start(NEW, start(1), Timestamp(0))
        worker.start(NEW, start(2, task = "b"), Timestamp(0))
        expectThat(worker.start(NEW, start(3, task = "c"), Timestamp(0)).leftOrNull()?.reason)
            .isEqualTo(RefusalReason.NO_CAPACITY)
    }

    /** Guards against a task that still runs after its owner has lost its lease. */
    @Test
    fun `an attempt ends when its lease expires and continues when its lease is renewed`() {
        val input = """{"standing":true}"""
        worker.start(NEW, start(1, input = input), Timestamp(0))
        worker.renew(RenewBody(NEW, listOf(FencingToken(1)), Timestamp(15_000)), Timestamp(9_000))
        worker.renew(RenewBody(NEW, listOf(FencingToken(1)), Timestamp(12_000)), Timestamp(9_500))
        expectThat(stateAt(14_999)).isEqualTo(AttemptState.RUNNING)
        expectThat(stateAt(15_000)).isEqualTo(AttemptState.LEASE_ENDED)
    }

    /** Guards against work that is lost or repeated when a task resumes. */
    @Test
    fun `a resumed attempt does only the remaining work`() {
        worker.start(NEW, start(1), Timestamp(0))
        val checkpoint = requireNotNull(worker.checkpoint(NEW, FencingToken(1), Timestamp(600)).getOrNull())
        worker.stop(NEW, FencingToken(1), Timestamp(600))
        worker.start(NEW, start(2, resumeFrom = checkpoint), Timestamp(700))
        expectThat(stateAt(1_099, token = 2)).isEqualTo(AttemptState.RUNNING)
        expectThat(stateAt(1_100, token = 2)).isEqualTo(AttemptState.FINISHED)
    }

    /** Guards against limits that are not enforced. */
    @Test
    fun `a throttled attempt is slower, and an attempt that exceeds its memory limit is ended`() {
        worker.start(NEW, start(1), Timestamp(0))
        worker.throttle(ThrottleBody(NEW, FencingToken(1), permille = 500), Timestamp(0))
        expectThat(stateAt(1_999)).isEqualTo(AttemptState.RUNNING)
        expectThat(stateAt(2_000)).isEqualTo(AttemptState.FINISHED)
        worker.start(NEW, start(2, task = "b", input = """{"memoryMegabytes":900}"""), Timestamp(2_000))
        expectThat(stateAt(2_100, token = 2)).isEqualTo(AttemptState.LIMIT_EXCEEDED)
    }

    /** Guards against tests of controllers with more recent usage than the platform reports. */
    @Test
    fun `reported usage is up to the configured lag old`() {
        worker.advance(Timestamp(0))
        worker.start(NEW, start(1), Timestamp(100))
        val report = requireNotNull(worker.report(NEW, Timestamp(400)).getOrNull()).attempts.single()
        expectThat(report.usage).isEqualTo(Resources.NONE)
        expectThat(report.usageMeasuredAt).isLessThan(Timestamp(400))
    }

    private fun stateAt(
        millis: Long,
        token: Long = 1,
    ) = worker
        .report(NEW, Timestamp(millis))
        .getOrNull()
        ?.attempts
        ?.single { it.token.value == token }
        ?.state

    private fun start(
        token: Long,
        task: String = "a",
        input: String = INPUT,
        resumeFrom: Checkpoint = Checkpoint.BEGINNING,
    ) = WorkerStart(
        taskId = TaskId(task),
        token = FencingToken(token),
        kind = WorkKind("render"),
        limit = Resources(1_000, 500),
        resumeFrom = resumeFrom,
        input = input,
        startDeadline = Timestamp(3_000),
        leaseDeadline = Timestamp(10_000),
    )
}
