/*
 * The colocation controller with random delays: it acts on each measurement at most once, respects profiles, and does
 * not oscillate between throttling and release.
 */
package org.greengagepass.core.process

import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.greengagepass.core.HostId
import org.greengagepass.core.TaskId
import org.greengagepass.core.Timestamp
import org.greengagepass.core.WorkKind
import org.junit.jupiter.api.Test
import strikt.api.expectThat
import strikt.assertions.isA
import strikt.assertions.isEqualTo
import strikt.assertions.isGreaterThanOrEqualTo
import strikt.assertions.isLessThan
import strikt.assertions.isNotNull
import strikt.assertions.isNull
import kotlin.random.Random

private const val SEED = 20_261_206L
private const val OBJECTIVE = 100L
private val HOST = HostId("host")
private val SERVICE = WorkKind("fit-preview")
private val NOISY = task("noisy", lostWork = 900)
private val CHEAP = task("cheap", lostWork = 10)

private fun task(
    name: String,
    lostWork: Long,
    evictable: Boolean = true,
    throttleable: Boolean = true,
) = ColocatedTask(TaskId(name), WorkKind(name), coreShare = 0.3, evictable, throttleable, lostWork)

class ColocationControllerTest {
    private val controller = ColocationController()
    private var clock = 0L

    @Test
    fun `every action depends only on measurements from after the previous action, for all delays`() =
        runTest {
            checkAll(PropTestConfig(seed = SEED, iterations = 400), Arb.long()) { seed -> runHistory(Random(seed)) }
        }

    @Test
    fun `the worst task is throttled first, then among the suspects the one with the least lost work is evicted`() {
        val young = NOISY.copy(taskId = TaskId("young"), lostWorkCoreMillis = 100)
        val tasks = listOf(NOISY, young, CHEAP)
        trainNoisyAsWorst()
        val first = observeUntilAction(tasks)
        expectThat(first).isA<ColocationAction.Throttle>().get { taskId }.isEqualTo(NOISY.taskId)
        controller.tookEffect(first, Timestamp(clock))
        expectThat(observeUntilAction(tasks)).isEqualTo(ColocationAction.Evict(HOST, young.taskId))
    }

    @Test
    fun `a kind without an estimate is throttled to the default`() {
        expectThat(observeUntilAction(listOf(NOISY)))
            .isEqualTo(ColocationAction.Throttle(HOST, NOISY.taskId, permille = 250))
    }

    @Test
    fun `a kind that breaks the objective starts throttled, and measurements from before the throttle are ignored`() {
        trainNoisyAsWorst()
        observe(latency = 60.0, listOf(CHEAP))
        val throttle = controller.starting(HOST, NOISY.copy(taskId = TaskId("next")), Timestamp(clock))
        expectThat(throttle).isNotNull().get { permille }.isLessThan(1_000)
        repeat(times = 5) { expectThat(observe(latency = 300.0, listOf(NOISY, CHEAP))).isNull() }
    }

    @Test
    fun `a task whose profile forbids throttling and eviction is neither throttled nor evicted`() {
        val fixed = task("fixed", lostWork = 0, evictable = false, throttleable = false)
        repeat(times = 50) { expectThat(observe(latency = 400.0, listOf(fixed))).isNull() }
    }

    @Test
    fun `no release happens between the release fraction and the objective`() {
        throttleOne()
        repeat(times = 50) { expectThat(observe(latency = 85.0, listOf(NOISY))).isNull() }
    }

    @Test
    fun `a throttled task is released after several low windows, not after one`() {
        throttleOne()
        repeat(times = ColocationController.LOW_WINDOWS - 1) {
            expectThat(observe(latency = 10.0, listOf(NOISY.copy(coreShare = 0.05)))).isNull()
        }
        expectThat(observe(latency = 10.0, listOf(NOISY.copy(coreShare = 0.05)))).isA<ColocationAction.Release>()
    }

    private fun runHistory(random: Random) {
        val controller = ColocationController()
        val inFlight = ArrayList<Pair<ColocationAction, Long>>()
        val delayed = ArrayList<HostObservation>()
        var lastEffect = Long.MIN_VALUE
        for (now in 1_000L..120_000L step 500) {
            inFlight.filter { it.second <= now }.forEach { (action, effect) ->
                controller.tookEffect(action, Timestamp(effect))
                lastEffect = maxOf(lastEffect, effect)
            }
            inFlight.removeIf { it.second <= now }
            delayed += observation(now - 1_000, now, latency = random.nextDouble(20.0, 300.0), listOf(NOISY, CHEAP))
            val observation = delayed.random(random)
            if (random.nextBoolean()) delayed.remove(observation)
            val action = controller.decide(observation, Timestamp(now)) ?: continue
            expectThat(inFlight.size).isEqualTo(0)
            expectThat(observation.windowStart.millis).isGreaterThanOrEqualTo(lastEffect)
            inFlight += action to now + random.nextLong(0, 6_000)
        }
    }

    private fun trainNoisyAsWorst() {
        repeat(times = 60) {
            observe(latency = 20.0, listOf(CHEAP))
            observe(latency = 95.0, listOf(NOISY, CHEAP))
        }
    }

    private fun throttleOne() {
        val action = observeUntilAction(listOf(NOISY))
        controller.tookEffect(action, Timestamp(clock))
    }

    private fun observeUntilAction(tasks: List<ColocatedTask>): ColocationAction =
        generateSequence { observe(latency = 200.0, tasks) ?: Unit }
            .take(n = 10)
            .filterIsInstance<ColocationAction>()
            .first()

    private fun observe(
        latency: Double,
        tasks: List<ColocatedTask>,
    ): ColocationAction? {
        val start = clock
        clock += 1_000
        return controller.decide(observation(start, clock, latency, tasks), Timestamp(clock))
    }

    private fun observation(
        start: Long,
        end: Long,
        latency: Double,
        tasks: List<ColocatedTask>,
    ) = HostObservation(
        HOST,
        Timestamp(start),
        Timestamp(end),
        listOf(ServiceObservation(SERVICE, latency, utilization = 0.3, OBJECTIVE)),
        tasks,
    )
}
